// Rise and reset of a leaf's concurrency limit.
#include "berylreach/limits/concurrency_limit.h"

#include <algorithm>
#include <chrono>

namespace berylreach::limits {
namespace {

/// Service time assumed before the first completion.
constexpr base::Duration kDefaultServiceTime = std::chrono::milliseconds(20);

/// A completion that takes longer than this multiple of the median is slow.
constexpr int kSlowFactor = 4;

/// A slow completion also exceeds the median by at least this much, because
/// scheduling delays alone can multiply the service time of a fast leaf.
constexpr base::Duration kMinSlowExcess = std::chrono::milliseconds(10);

/// With fewer samples the median is not reliable.
constexpr std::size_t kMinSamplesForSlow = 8;

/// A single slow completion can be a straggler; a cold leaf is slow repeatedly.
constexpr std::uint32_t kSlowCompletionsForReset = 2;

}  // namespace

base::Duration ConcurrencyLimit::ServiceTime() const {
  return service_times_.Quantile(0.5).value_or(kDefaultServiceTime);
}

bool ConcurrencyLimit::IsSecondSlowCompletion(base::Duration service_time) {
  const auto median = service_times_.Quantile(0.5, kMinSamplesForSlow);
  service_times_.Add(service_time);
  const bool slow = median && service_time > kSlowFactor * *median &&
                    service_time > *median + kMinSlowExcess;
  consecutive_slow_ = slow ? consecutive_slow_ + 1 : 0;
  return consecutive_slow_ >= kSlowCompletionsForReset;
}

void ConcurrencyLimit::OnCompletion(base::Duration service_time,
                                    std::uint64_t generation) {
  if (generation != generation_) return;
  if (IsSecondSlowCompletion(service_time)) {
    Reset();
    return;
  }
  ++completions_;
  if (!cold_ && completions_ < limit_) return;
  cold_ = false;
  completions_ = 0;
  limit_ = std::max<std::uint32_t>(1, std::min(limit_ + 1, slots_));
}

void ConcurrencyLimit::Reset() {
  limit_ = 1;
  cold_ = true;
  completions_ = 0;
  consecutive_slow_ = 0;
  ++generation_;
}

void ConcurrencyLimit::SetSlots(std::uint32_t slots) {
  slots_ = slots;
  limit_ = std::max<std::uint32_t>(1, std::min(limit_, slots_));
}

}  // namespace berylreach::limits
