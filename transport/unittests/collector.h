// Collects the items that callbacks on another thread deliver.
#pragma once

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <utility>
#include <vector>

namespace berylreach::transport {

/// Timeout of each wait; long because tests may run on busy machines.
inline constexpr std::chrono::seconds kConditionLimit{20};

/// Thread-safe list that a test can wait on.
template <typename T>
class Collector {
 public:
  void Add(T item) {
    std::lock_guard<std::mutex> lock(mutex_);
    items_.push_back(std::move(item));
    changed_.notify_all();
  }

  /// Waits until there are at least `count` items or the timeout expires;
  /// returns all items.
  std::vector<T> Wait(std::size_t count) {
    std::unique_lock<std::mutex> lock(mutex_);
    changed_.wait_for(lock, kConditionLimit,
                      [&] { return items_.size() >= count; });
    return items_;
  }

  /// Waits until `accept` holds for an item; false after the timeout.
  template <typename Predicate>
  bool WaitAny(Predicate accept) {
    return WaitAnyFor(kConditionLimit, accept);
  }

  /// As WaitAny, with `limit` as the timeout.
  template <typename Predicate>
  bool WaitAnyFor(std::chrono::milliseconds limit, Predicate accept) {
    std::unique_lock<std::mutex> lock(mutex_);
    return changed_.wait_for(lock, limit, [&] {
      for (const T& item : items_)
        if (accept(item)) return true;
      return false;
    });
  }

  std::size_t size() {
    std::lock_guard<std::mutex> lock(mutex_);
    return items_.size();
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<T> items_;
};

}  // namespace berylreach::transport
