// A bounded ring that joins two threads.
#pragma once

#include <boost/circular_buffer.hpp>
#include <cstddef>
#include <functional>
#include <mutex>
#include <utility>
#include <vector>

namespace berylreach::base {

/// Bounded multi-producer ring with one consumer. The consumer is woken by a
/// callback because each consumer thread waits in its own event loop (Asio or
/// KJ) and not on a condition variable.
template <typename T>
class Channel {
 public:
  /// `wake` is called without the lock held, on the producer's thread, whenever
  /// the ring turns from empty to non-empty.
  Channel(std::size_t capacity, std::function<void()> wake)
      : ring_(capacity), wake_(std::move(wake)) {}

  /// Appends `item`; returns false, leaving the ring unchanged, if it is full.
  bool TryPush(T item) {
    bool was_empty;
    {
      std::lock_guard<std::mutex> lock(mutex_);
      if (ring_.full()) return false;
      was_empty = ring_.empty();
      ring_.push_back(std::move(item));
    }
    if (was_empty) wake_();
    return true;
  }

  /// Removes and returns all items in order.
  std::vector<T> Drain() {
    std::lock_guard<std::mutex> lock(mutex_);
    std::vector<T> items(std::make_move_iterator(ring_.begin()),
                         std::make_move_iterator(ring_.end()));
    ring_.clear();
    return items;
  }

 private:
  std::mutex mutex_;
  boost::circular_buffer<T> ring_;
  std::function<void()> wake_;
};

}  // namespace berylreach::base
