// How current a host's view of the deployment's records is.
#pragma once

#include <algorithm>
#include <utility>

#include "berylreach/base/clock.h"

namespace berylreach::forward {

/// The span of time for which a host's view is known to have had each change
/// soon after the store acknowledged it.
struct ViewCurrency {
  /// Since when the reads have been answered one after the other.
  base::TimePoint since{};
  /// The view holds all changes that the store acknowledged before this time.
  base::TimePoint until{};

  friend bool operator==(const ViewCurrency&, const ViewCurrency&) = default;
};

/// Derives the currency of a view from the answers that a host gets. A watch
/// that waits is presumed to work as long as the store answers other calls;
/// what rests on that is taken back if the watch proves to have been lost. Not
/// thread-safe.
class ViewCurrencyTracker {
 public:
  /// Records an answer to a read, after which the view holds all changes that
  /// were acknowledged before `current_at`.
  void OnReadAnswered(base::TimePoint now, base::TimePoint current_at) {
    if (std::exchange(interrupted_, false)) since_ = now;
    read_until_ = std::max(read_until_, current_at);
    presumed_until_ = std::max(presumed_until_, read_until_);
  }

  /// Records that the pending watch would have reported all changes that were
  /// acknowledged before `current_at`, if it works.
  void PresumeCurrent(base::TimePoint current_at) {
    presumed_until_ = std::max(presumed_until_, current_at);
  }

  /// Records that a read failed or was given up.
  void OnInterrupted() {
    interrupted_ = true;
    presumed_until_ = read_until_;
  }

  /// Whether the latest read failed or was given up.
  bool interrupted() const { return interrupted_; }

  ViewCurrency currency() const {
    return {.since = since_, .until = presumed_until_};
  }

 private:
  bool interrupted_ = false;
  base::TimePoint since_{};
  /// Until when the view was current by the answers to reads alone.
  base::TimePoint read_until_{};
  base::TimePoint presumed_until_{};
};

}  // namespace berylreach::forward
