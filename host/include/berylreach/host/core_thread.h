// The thread that makes all decisions.
#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <optional>
#include <thread>

#include "berylreach/base/channel.h"
#include "berylreach/base/clock.h"
#include "berylreach/core/host_core.h"
#include "berylreach/host/action_sink.h"
#include "berylreach/host/core_event.h"

namespace berylreach::host {

/// Runs a HostCore on a thread of its own. Events come through a bounded
/// channel.
class CoreThread {
 public:
  /// `clock` and `sink` must outlive this object. Events wait until Run.
  CoreThread(const base::Clock& clock, ActionSink& sink);
  ~CoreThread();

  CoreThread(const CoreThread&) = delete;
  CoreThread& operator=(const CoreThread&) = delete;

  /// Starts the core on its thread.
  void Run(core::CoreOptions options);

  /// Ends the thread; no action is carried out afterwards. Events are still
  /// accepted and dropped.
  void Quit();

  /// Hands over an event; false if the channel is full. With Wakeup::kAtFlush
  /// the core takes it after the next Flush. Callable from any thread.
  bool Post(CoreEvent event, base::Wakeup wakeup = base::Wakeup::kNow);
  void Flush() { channel_.Flush(); }

  /// Events refused because the channel was full.
  std::uint64_t refused_events() const { return refused_events_; }

 private:
  void Loop();
  void Wake();
  void Handle(CoreEvent& event);
  void Execute(core::Actions actions);

  const base::Clock& clock_;
  std::optional<core::HostCore> core_;
  ActionSink& sink_;
  base::Channel<CoreEvent> channel_;
  std::mutex mutex_;
  std::condition_variable woken_;
  bool wake_ = false;
  bool quit_ = false;
  bool stop_reported_ = false;
  std::atomic<std::uint64_t> refused_events_{0};
  std::thread thread_;
};

}  // namespace berylreach::host
