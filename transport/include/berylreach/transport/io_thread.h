// A thread with its own event loop.
#pragma once

#include <functional>
#include <memory>

namespace berylreach::transport {

/// Runs the sockets and timers of the components that are constructed with it.
/// It must outlive them.
class IoThread {
 public:
  struct Impl;

  IoThread();
  /// Stops the loop and joins the thread. Pending work is dropped.
  ~IoThread();
  IoThread(const IoThread&) = delete;
  IoThread& operator=(const IoThread&) = delete;

  /// Runs `task` on the thread. Callable from any thread.
  void Post(std::function<void()> task);

  /// For the components of this package only.
  Impl& impl() { return *impl_; }

 private:
  std::unique_ptr<Impl> impl_;
};

}  // namespace berylreach::transport
