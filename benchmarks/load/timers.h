// Timers that need no owner.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <memory>
#include <utility>

namespace berylreach::load {

/// Runs `action` at that time. The timer ends only with its action.
template <typename Action>
void RunAt(boost::asio::io_context& io,
           std::chrono::steady_clock::time_point at, Action action) {
  auto timer = std::make_shared<boost::asio::steady_timer>(io, at);
  timer->async_wait([timer, action = std::move(action)](
                        boost::system::error_code) { action(); });
}

/// Runs `action` after that time.
template <typename Action>
void RunAfter(boost::asio::io_context& io, std::chrono::milliseconds delay,
              Action action) {
  RunAt(io, std::chrono::steady_clock::now() + delay, std::move(action));
}

}  // namespace berylreach::load
