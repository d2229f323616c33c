#include "event_loop.h"

#include <poll.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace review {

void EventLoop::Watch(int socket, Action readable, Action writable) {
  watched_[socket] = {std::move(readable), std::move(writable)};
}

void EventLoop::Unwatch(int socket) { watched_.erase(socket); }

void EventLoop::After(milliseconds delay, Action action) {
  timers_.emplace(Clock::now() + delay, std::move(action));
}

bool EventLoop::RunUntil(const std::function<bool()>& done,
                         milliseconds limit) {
  const Time end = Clock::now() + limit;
  while (!done()) {
    if (Clock::now() >= end) return false;
    RunOnce(end);
  }
  return true;
}

void EventLoop::RunFor(milliseconds span) {
  RunUntil([] { return false; }, span);
}

void EventLoop::RunOnce(Time end) {
  constexpr milliseconds longest_wait{20};
  std::vector<pollfd> sockets;
  for (const auto& [socket, watched] : watched_) {
    short events = 0;
    if (watched.readable) events |= POLLIN;
    if (watched.writable) events |= POLLOUT;
    sockets.push_back({socket, events, 0});
  }
  const Time now = Clock::now();
  Time next = std::min(end, now + longest_wait);
  if (!timers_.empty()) next = std::min(next, timers_.begin()->first);
  const auto wait = std::max(
      milliseconds(0), std::chrono::ceil<milliseconds>(next - Clock::now()));
  poll(sockets.data(), sockets.size(), static_cast<int>(wait.count()));
  for (const pollfd& polled : sockets) {
    const auto call = [&](short events, Action Watched::*member) {
      if ((polled.revents & events) == 0) return;
      const auto found = watched_.find(polled.fd);
      if (found == watched_.end()) return;
      const Action action = found->second.*member;
      if (action) action();
    };
    call(POLLIN | POLLHUP | POLLERR, &Watched::readable);
    call(POLLOUT, &Watched::writable);
  }
  while (!timers_.empty() && timers_.begin()->first <= Clock::now()) {
    const Action action = std::move(timers_.begin()->second);
    timers_.erase(timers_.begin());
    action();
  }
}

}  // namespace review
