// The concurrency limit of one leaf: 1 when cold, up to the slots when proven.
#pragma once

#include <cstddef>
#include <cstdint>

#include "berylreach/base/clock.h"
#include "berylreach/base/quantile_window.h"

namespace berylreach::limits {

/// Raises the limit with proven completions and resets it to 1 on evidence of
/// a cold start (section 3.4 of the design page).
class ConcurrencyLimit {
 public:
  explicit ConcurrencyLimit(std::uint32_t slots) : slots_(slots) {}

  std::uint32_t value() const { return limit_; }

  /// True until the first proven completion after a reset.
  bool cold() const { return cold_; }

  /// Number of resets. A call records it when it starts.
  std::uint64_t generation() const { return generation_; }

  /// Median of the recent service times, or a default while there are few.
  base::Duration ServiceTime() const;

  /// A proven completion of a call that started in `generation`. A call
  /// started before the last reset proves nothing about the restarted leaf.
  void OnCompletion(base::Duration service_time, std::uint64_t generation);

  /// A call failed, which interrupts the run of proven completions.
  void OnFailure() { completions_ = 0; }

  /// Evidence of a cold start.
  void Reset();

  /// The document gives the leaf another number of slots.
  void SetSlots(std::uint32_t slots);

 private:
  bool IsSecondSlowCompletion(base::Duration service_time);

  std::uint32_t slots_;
  std::uint32_t limit_ = 1;
  bool cold_ = true;
  std::uint64_t generation_ = 0;
  /// Proven completions since the last change of the limit.
  std::uint32_t completions_ = 0;
  std::uint32_t consecutive_slow_ = 0;
  base::QuantileWindow service_times_{64};
};

}  // namespace berylreach::limits
