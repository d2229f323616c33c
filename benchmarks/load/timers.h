// One-shot timers that keep themselves alive.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <memory>
#include <utility>

namespace berylreach::load {

/// Runs `action` at the time `at`. The timer cannot be cancelled.
template <typename Action>
void RunAt(boost::asio::io_context& io,
           std::chrono::steady_clock::time_point at, Action action) {
  auto timer = std::make_shared<boost::asio::steady_timer>(io, at);
  timer->async_wait([timer, action = std::move(action)](
                        boost::system::error_code) { action(); });
}

/// Runs `action` after `delay`; it cannot be cancelled.
template <typename Action>
void RunAfter(boost::asio::io_context& io, std::chrono::milliseconds delay,
              Action action) {
  RunAt(io, std::chrono::steady_clock::now() + delay, std::move(action));
}

}  // namespace berylreach::load
