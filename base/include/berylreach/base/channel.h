// A bounded queue that passes items from producer threads to one consumer
// thread.
#pragma once

#include <boost/circular_buffer.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>
#include <utility>
#include <vector>

namespace berylreach::base {

/// When a push wakes the consumer of the channel.
enum class Wakeup : std::uint8_t {
  kNow,
  kAtFlush,  ///< At the next Flush, so that one wake-up serves several items.
};

/// Bounded multi-producer, single-consumer queue on a ring buffer. A callback
/// wakes the consumer, because each consumer thread waits in its own event loop
/// (Asio or KJ) rather than on a condition variable.
template <typename T>
class Channel {
 public:
  /// `wake` is called on the producer's thread, without the lock held, when the
  /// queue holds an item for which the consumer has not been woken.
  Channel(std::size_t capacity, std::function<void()> wake)
      : ring_(capacity), wake_(std::move(wake)) {}

  /// Appends `item`. Returns false and leaves the queue unchanged if it is
  /// full. After a push with Wakeup::kAtFlush the producer must call Flush
  /// soon.
  bool TryPush(T item, Wakeup wakeup = Wakeup::kNow) {
    bool wake;
    {
      std::lock_guard<std::mutex> lock(mutex_);
      if (ring_.full()) return false;
      if (ring_.empty()) needs_wakeup_ = true;
      ring_.push_back(std::move(item));
      wake = wakeup == Wakeup::kNow && std::exchange(needs_wakeup_, false);
    }
    if (wake) wake_();
    return true;
  }

  /// Wakes the consumer if a push with Wakeup::kAtFlush deferred the wake-up
  /// and no later push or Drain has made it unnecessary.
  void Flush() {
    {
      std::lock_guard<std::mutex> lock(mutex_);
      if (!std::exchange(needs_wakeup_, false)) return;
    }
    wake_();
  }

  /// Removes and returns all items in the order of their pushes.
  std::vector<T> Drain() {
    std::lock_guard<std::mutex> lock(mutex_);
    std::vector<T> items(std::make_move_iterator(ring_.begin()),
                         std::make_move_iterator(ring_.end()));
    ring_.clear();
    needs_wakeup_ = false;
    return items;
  }

 private:
  std::mutex mutex_;
  boost::circular_buffer<T> ring_;
  /// True if the queue became non-empty and the consumer has not been woken
  /// since.
  bool needs_wakeup_ = false;
  std::function<void()> wake_;
};

}  // namespace berylreach::base
