// Admission by priority, and retry times from the completion rate.
#include "berylreach/limits/admission.h"

#include <algorithm>
#include <chrono>

namespace berylreach::limits {
namespace {

using std::chrono::milliseconds;

/// Period over which the completion rate is measured.
constexpr base::Duration kRateWindow = std::chrono::seconds(1);

/// Maximum number of stored completion times, which bounds their memory. A
/// higher completion rate is measured over less than kRateWindow; the retry
/// time is then short anyway.
constexpr std::size_t kMaxCompletions = 4096;

/// Bounds of retry_after. Below the minimum, refused callers would retry in
/// step with each other. Above the maximum, callers that were refused during a
/// pause in completions would stay away after its end, and capacity would stay
/// idle.
constexpr milliseconds kMinRetryAfter{50};
constexpr milliseconds kMaxRetryAfter{5000};

/// Priorities beyond this one are treated like it.
constexpr std::uint32_t kLeastUrgent = 5;

/// Returns the part of `bound` that a priority may use: 10 tenths for priority
/// 0, one less for each further priority, at least 5.
std::size_t Share(std::size_t bound, std::uint32_t priority) {
  const std::uint32_t tenths = 10 - std::min(priority, kLeastUrgent);
  return std::max<std::size_t>(1, bound * tenths / 10);
}

/// Returns by how much `used` and `wanted` together exceed `bound`.
std::size_t Excess(std::size_t used, std::size_t wanted, std::size_t bound) {
  return used + wanted > bound ? used + wanted - bound : 0;
}

}  // namespace

Admission::Admission(const base::Clock& clock, AdmissionOptions options)
    : clock_(clock), options_(options), tenants_(clock) {}

std::size_t Admission::ExcessOfTenant(std::string_view tenant,
                                      std::uint32_t priority,
                                      std::size_t leaf_calls) {
  tenants_.OnRequest(tenant, priority);
  // Shares apply from half of the smallest bound on.
  if (requests_ + 1 <= Share(options_.max_requests, kLeastUrgent) / 2 &&
      leaf_calls_ + leaf_calls <=
          Share(options_.max_leaf_calls, kLeastUrgent) / 2)
    return 0;
  const std::uint32_t least_urgent = tenants_.LeastUrgentPriority();
  return tenants_.Excess(
      tenant, {.requests = 1, .leaf_calls = leaf_calls},
      {.requests = requests_, .leaf_calls = leaf_calls_},
      {.requests = Share(options_.max_requests, least_urgent),
       .leaf_calls = Share(options_.max_leaf_calls, least_urgent)});
}

AdmissionDecision Admission::Admit(std::uint32_t priority,
                                   std::size_t leaf_calls,
                                   std::optional<std::string_view> tenant) {
  const std::size_t excess_requests =
      Excess(requests_, 1, Share(options_.max_requests, priority));
  const std::size_t excess_calls =
      Excess(leaf_calls_, leaf_calls, Share(options_.max_leaf_calls, priority));
  // A request larger than its share is admitted only if no leaf call is in
  // flight.
  const std::size_t excess_of_tenant =
      tenant ? ExcessOfTenant(*tenant, priority, leaf_calls) : 0;
  const bool admitted = excess_requests == 0 && excess_of_tenant == 0 &&
                        (excess_calls == 0 || leaf_calls_ == 0);
  if (!admitted) {
    ++counters_.refused;
    if (tenant) tenants_.OnRefused(*tenant);
    // RetryAfter counts requests, so the excess of calls is converted.
    const std::size_t calls_per_request = std::max<std::size_t>(
        1, leaf_calls_ / std::max<std::size_t>(1, requests_));
    return {false, RetryAfter(std::max({excess_requests, excess_of_tenant,
                                        excess_calls / calls_per_request}))};
  }
  if (tenant) tenants_.OnAdmitted(*tenant, leaf_calls);
  ++counters_.admitted;
  ++requests_;
  leaf_calls_ += leaf_calls;
  return {true, milliseconds{0}};
}

void Admission::OnRequestDone(std::size_t leaf_calls,
                              std::optional<std::string_view> tenant) {
  if (tenant) tenants_.OnDone(*tenant, leaf_calls);
  ++counters_.completed;
  requests_ -= std::min<std::size_t>(requests_, 1);
  leaf_calls_ -= std::min(leaf_calls_, leaf_calls);
  if (completions_.size() >= kMaxCompletions) completions_.pop_front();
  completions_.push_back(clock_.Now());
}

void Admission::DropOldCompletions() {
  const base::TimePoint begin = clock_.Now() - kRateWindow;
  while (!completions_.empty() && completions_.front() < begin)
    completions_.pop_front();
}

milliseconds Admission::RetryAfter(std::size_t excess) {
  DropOldCompletions();
  if (completions_.empty()) return kMaxRetryAfter;
  const auto window = std::max<base::Duration>(
      clock_.Now() - completions_.front(), milliseconds(1));
  const auto per_completion =
      window / static_cast<std::int64_t>(completions_.size());
  const auto wait = std::chrono::ceil<milliseconds>(
      per_completion * static_cast<std::int64_t>(excess + 1));
  return std::clamp(wait, kMinRetryAfter, kMaxRetryAfter);
}

}  // namespace berylreach::limits
