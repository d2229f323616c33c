// The concurrency limit of one leaf: 1 while the leaf is cold, then rising to
// its number of slots.
#pragma once

#include <cstddef>
#include <cstdint>

#include "berylreach/base/clock.h"
#include "berylreach/base/quantile_window.h"

namespace berylreach::limits {

/// Raises the limit with successful completions and resets it to 1 on evidence
/// of a cold start (section 3.4 of docs/design.md).
class ConcurrencyLimit {
 public:
  explicit ConcurrencyLimit(std::uint32_t slots) : slots_(slots) {}

  std::uint32_t value() const { return limit_; }

  /// True until the first successful completion after a reset.
  bool cold() const { return cold_; }

  /// Number of resets. Each call stores the value at its start.
  std::uint64_t generation() const { return generation_; }

  /// Returns the median of the recent service times, or a default before the
  /// first completion.
  base::Duration ServiceTime() const;

  /// A call that started in `generation` completed successfully. Ignored if the
  /// limit has been reset since, because the call says nothing about the
  /// restarted leaf.
  void OnCompletion(base::Duration service_time, std::uint64_t generation);

  /// A call failed, which restarts the count of successful completions towards
  /// the next rise.
  void OnFailure() { completions_ = 0; }

  /// There is evidence of a cold start: the limit returns to 1.
  void Reset();

  /// Sets the number of slots that the document gives the leaf.
  void SetSlots(std::uint32_t slots);

 private:
  /// Records `service_time`. Returns whether it is at least the second slow one
  /// in a row, which is evidence of a cold start.
  bool IsSecondSlowCompletion(base::Duration service_time);

  std::uint32_t slots_;
  std::uint32_t limit_ = 1;
  bool cold_ = true;
  std::uint64_t generation_ = 0;
  /// Successful completions since the last change of the limit or failure.
  std::uint32_t completions_ = 0;
  std::uint32_t consecutive_slow_ = 0;
  base::QuantileWindow service_times_{64};
};

}  // namespace berylreach::limits
