// A single-threaded event loop on poll(): readable and writable sockets, and
// timers.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <unordered_map>

namespace review {

using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;
using std::chrono::milliseconds;

class EventLoop {
 public:
  using Action = std::function<void()>;

  /// Calls `readable` and `writable` whenever the socket is in that state. An
  /// empty function is not waited for.
  void Watch(int socket, Action readable, Action writable);
  void Unwatch(int socket);
  /// Calls `action` once after `delay`.
  void After(milliseconds delay, Action action);
  /// Runs events until `done` returns true or `limit` has passed; returns
  /// whether `done` returned true.
  bool RunUntil(const std::function<bool()>& done, milliseconds limit);
  void RunFor(milliseconds span);

 private:
  struct Watched {
    Action readable;
    Action writable;
  };

  void RunOnce(Time end);

  std::unordered_map<int, Watched> watched_;
  std::multimap<Time, Action> timers_;
};

}  // namespace review
