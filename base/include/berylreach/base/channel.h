// A bounded ring that joins two threads.
#pragma once

#include <boost/circular_buffer.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>
#include <utility>
#include <vector>

namespace berylreach::base {

/// When the consumer of a channel is woken for a new item.
enum class Wakeup : std::uint8_t {
  kNow,
  kAtFlush,  ///< Not before Flush, so that one wake-up serves several items.
};

/// Bounded multi-producer ring with one consumer. The consumer is woken by a
/// callback because each consumer thread waits in its own event loop (Asio or
/// KJ) and not on a condition variable.
template <typename T>
class Channel {
 public:
  /// `wake` is called without the lock held, on the producer's thread, whenever
  /// the ring holds an item that the consumer has not been woken for.
  Channel(std::size_t capacity, std::function<void()> wake)
      : ring_(capacity), wake_(std::move(wake)) {}

  /// Appends `item`; returns false, leaving the ring unchanged, if it is full.
  /// With Wakeup::kAtFlush the producer must call Flush soon.
  bool TryPush(T item, Wakeup wakeup = Wakeup::kNow) {
    bool wake;
    {
      std::lock_guard<std::mutex> lock(mutex_);
      if (ring_.full()) return false;
      if (ring_.empty()) wake_due_ = true;
      ring_.push_back(std::move(item));
      wake = wakeup == Wakeup::kNow && std::exchange(wake_due_, false);
    }
    if (wake) wake_();
    return true;
  }

  /// Wakes the consumer if a push has left that to this call.
  void Flush() {
    {
      std::lock_guard<std::mutex> lock(mutex_);
      if (!std::exchange(wake_due_, false)) return;
    }
    wake_();
  }

  /// Removes and returns all items in order.
  std::vector<T> Drain() {
    std::lock_guard<std::mutex> lock(mutex_);
    std::vector<T> items(std::make_move_iterator(ring_.begin()),
                         std::make_move_iterator(ring_.end()));
    ring_.clear();
    wake_due_ = false;
    return items;
  }

 private:
  std::mutex mutex_;
  boost::circular_buffer<T> ring_;
  /// The ring has turned non-empty and the consumer was not woken since.
  bool wake_due_ = false;
  std::function<void()> wake_;
};

}  // namespace berylreach::base
