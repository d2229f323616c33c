// A thread that runs an Asio event loop.
#pragma once

#include <functional>
#include <memory>

namespace berylreach::transport {

/// Runs the sockets and timers of the components that are constructed with it,
/// and must outlive them.
class IoThread {
 public:
  struct Impl;

  IoThread();
  /// Stops the event loop and joins the thread. Tasks that have not run are
  /// dropped.
  ~IoThread();
  IoThread(const IoThread&) = delete;
  IoThread& operator=(const IoThread&) = delete;

  /// Runs `task` on the thread. Callable from any thread.
  void Post(std::function<void()> task);

  /// For use inside this package only.
  Impl& impl() { return *impl_; }

 private:
  std::unique_ptr<Impl> impl_;
};

}  // namespace berylreach::transport
