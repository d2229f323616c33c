// Event loop of the core thread.
#include "berylreach/host/core_thread.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <utility>

namespace berylreach::host {
namespace {

/// Maximum number of events that wait for the core thread; further events are
/// refused.
constexpr std::size_t kChannelCapacity = 65536;
/// Longest sleep of the core thread. Bounds the delay of a timer that was set
/// without an event.
constexpr std::chrono::milliseconds kMaxSleep{100};
/// Number of events after which their actions are flushed, even if more events
/// wait. Bounds the delay of the first event's actions to
/// about a millisecond.
constexpr std::size_t kMaxEventsPerGroup = 32;

template <typename... Ts>
struct Overloaded : Ts... {
  using Ts::operator()...;
};
template <typename... Ts>
Overloaded(Ts...) -> Overloaded<Ts...>;

}  // namespace

CoreThread::CoreThread(const base::Clock& clock, ActionSink& sink)
    : clock_(clock),
      sink_(sink),
      channel_(kChannelCapacity, [this] { Wake(); }) {}

CoreThread::~CoreThread() { Quit(); }

void CoreThread::Quit() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    quit_ = true;
  }
  wake_condition_.notify_one();
  if (thread_.joinable()) thread_.join();
}

void CoreThread::Run(core::CoreOptions options) {
  core_.emplace(clock_, std::move(options));
  thread_ = std::thread([this] { Loop(); });
}

bool CoreThread::Post(CoreEvent event, base::Wakeup wakeup) {
  if (channel_.TryPush(std::move(event), wakeup)) return true;
  ++refused_events_;
  return false;
}

void CoreThread::Wake() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    wake_ = true;
  }
  wake_condition_.notify_one();
}

void CoreThread::Loop() {
  Execute(core_->Start());
  sink_.OnActionsEnd();
  while (true) {
    {
      std::unique_lock<std::mutex> lock(mutex_);
      const base::TimePoint now = clock_.Now();
      const auto until = std::min(core_->NextWakeup(), now + kMaxSleep);
      wake_condition_.wait_for(lock, until - now,
                               [this] { return wake_ || quit_; });
      if (quit_) return;
      wake_ = false;
    }
    std::size_t handled = 0;
    for (CoreEvent& event : channel_.Drain()) {
      Handle(event);
      if (++handled % kMaxEventsPerGroup == 0) sink_.OnActionsEnd();
    }
    if (core_->NextWakeup() <= clock_.Now()) Execute(core_->Tick());
    sink_.OnActionsEnd();
    if (core_->stopped() && !std::exchange(stop_reported_, true))
      sink_.OnStopped();
  }
}

void CoreThread::Handle(CoreEvent& event) {
  std::visit(Overloaded{
                 [&](const model::CallerRequest& request) {
                   Execute(core_->OnCallerRequest(request));
                 },
                 [&](const CallerDisconnected& gone) {
                   Execute(core_->OnCallerDisconnected(gone.id));
                 },
                 [&](const model::Envelope& envelope) {
                   Execute(core_->OnEnvelope(envelope));
                 },
                 [&](const model::UpstreamResult& result) {
                   Execute(core_->OnUpstreamResult(result));
                 },
                 [&](const model::LeafStatus& status) {
                   Execute(core_->OnLeafStatus(status));
                 },
                 [&](const model::StoreResult& result) {
                   Execute(core_->OnStoreResult(result));
                 },
                 [&](const HostListRead& read) {
                   Execute(core_->OnHostList(read.list));
                 },
                 [&](const PeerDisconnected& lost) {
                   Execute(core_->OnPeerDisconnected(lost.host));
                 },
                 [&](const StopRequested&) { Execute(core_->Stop()); },
                 [&](const Inspect& inspect) { inspect.read(*core_); },
             },
             event);
}

void CoreThread::Execute(core::Actions actions) {
  for (core::Action& action : actions) sink_.OnAction(std::move(action));
}

}  // namespace berylreach::host
