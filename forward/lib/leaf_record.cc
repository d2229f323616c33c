// Estimates the latency and health of one leaf.
#include "berylreach/forward/leaf_record.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace berylreach::forward {
namespace {

using std::chrono::milliseconds;

/// Reciprocals of the weight of a new sample in the mean and in the deviation
/// (RFC 6298).
constexpr int kMeanDivisor = 8;
constexpr int kDeviationDivisor = 4;

/// Number of deviations above the mean after which an answer is overdue.
constexpr int kOverdueDeviations = 3;
constexpr milliseconds kMinHedgeDelay{8};
/// Margin of latency limits for the granularity of timers.
constexpr milliseconds kTimerMargin{4};

/// Time without samples after which a high latency estimate has decayed to the
/// default, so that a leaf that was slow is tried again.
constexpr milliseconds kEstimateDecayTime{6000};

/// Time constant of the exponential decay of the failure rate.
constexpr double kFailureDecaySeconds = 2.0;
constexpr double kFailureSampleWeight = 0.15;

/// Time after a refusal in which the leaf gets calls only if it is still
/// expected to answer sooner than others.
constexpr milliseconds kRefusalTime{1000};
/// Minimum time between two trial calls to one leaf.
constexpr milliseconds kTrialInterval{1000};

/// Expected delay of a request whose call is certain to fail: the time of a
/// second call.
constexpr milliseconds kFailurePenalty{150};
/// Expected delay of a call to a leaf with an overdue call. Usually the process
/// is paused, for a few hundred milliseconds.
constexpr milliseconds kOverduePenalty{150};
/// Time without an answer after which a leaf is considered hung; pauses of a
/// process are shorter.
constexpr milliseconds kUnresponsiveAfter{500};
/// Time for which a leaf is doubtful after a reset unless it answers: about as
/// long as a process takes to restart.
constexpr milliseconds kDoubtTime{2000};
/// Penalty for cold leaves, which are slower and should be used last.
constexpr milliseconds kColdPenalty{60};

/// Initial back-off after failures; doubles with each further failure.
constexpr milliseconds kInitialBackoff{100};
constexpr std::uint32_t kMaxBackoffDoublings = 4;
/// Number of consecutive failures after which a reachable leaf is backed off.
/// Fewer failures may be coincidence.
constexpr std::uint32_t kFailuresBeforeBackoff = 3;

/// Least time that a call counts as work, and the largest ratio of a call's
/// time to the mean of its route, so that one call shifts a factor little.
constexpr milliseconds kMinWork{1};
constexpr double kMaxRatio = 16;

/// Latency assumed for a leaf at this distance without samples.
base::Duration DefaultLatencyAt(Distance distance) {
  switch (distance) {
    case Distance::kSameZone:
      return milliseconds(10);
    case Distance::kSameRegion:
      return milliseconds(12);
    case Distance::kOtherRegion:
      return milliseconds(50);
  }
  return milliseconds(50);
}

/// Increase of the expected latency if all slots are in use. A host that runs
/// groups has many slots, which hardly slow each other down. Some leaves take
/// nearly twice as long once a second call runs, and a call of this host is
/// also a sign of calls of other hosts to the same leaf.
constexpr double kHostLoadSlope = 0.2;
constexpr double kLeafLoadSlope = 1;

double Seconds(base::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

LeafRecord::LeafRecord(LeafEntry entry, Distance distance, std::string region,
                       base::TimePoint now)
    : entry_(std::move(entry)),
      distance_(distance),
      region_(std::move(region)) {
  SetColdFor(entry_.cold_left, now);
}

void LeafRecord::Update(LeafEntry entry, base::TimePoint now) {
  if (entry.cold_left != entry_.cold_left) SetColdFor(entry.cold_left, now);
  entry_ = std::move(entry);
}

void LeafRecord::SetColdFor(base::Duration left, base::TimePoint now) {
  cold_until_ = now + left;
}

void LeafRecord::PauseUntil(base::TimePoint until) {
  if (until <= paused_until_) return;
  paused_until_ = until;
  refused_until_ = until;
  on_trial_ = true;
}

bool LeafRecord::AcceptsCall(base::TimePoint now) const {
  if (leaving_ || IsPaused(now)) return false;
  return !on_trial_ || calls_.empty();
}

bool LeafRecord::IsTrialDue(base::TimePoint now) const {
  if (!calls_.empty() || now < next_trial_) return false;
  if (consecutive_failures_ > 0 && now < last_sample_ + kEstimateDecayTime)
    return false;
  if (refused_until_) return now >= *refused_until_;
  // A higher estimate decays by itself, and a trial of a slow leaf would delay
  // a request.
  return mean_ <= DefaultLatency() && now >= last_sample_ + kTrialInterval;
}

void LeafRecord::OnCallSent(base::TimePoint now,
                            std::shared_ptr<RouteLatency> route) {
  if (IsTrialDue(now)) next_trial_ = now + kTrialInterval;
  calls_.push_back({now, std::move(route)});
}

void LeafRecord::OnCallEnded(base::TimePoint sent, base::TimePoint now,
                             CallOutcome outcome) {
  const auto found = std::find_if(
      calls_.begin(), calls_.end(),
      [sent](const RunningCall& call) { return call.sent == sent; });
  std::shared_ptr<RouteLatency> route;
  if (found != calls_.end()) {
    route = std::move(found->route);
    calls_.erase(found);
  }
  if (outcome == CallOutcome::kCancelled) return;
  if (outcome == CallOutcome::kLost) MarkDoubtful(now);
  if (outcome == CallOutcome::kAnswered || outcome == CallOutcome::kShed ||
      outcome == CallOutcome::kFailed)
    OnAnswerTo(sent);
  const bool refused = outcome == CallOutcome::kShed;
  const bool failed = outcome != CallOutcome::kAnswered && !refused;
  const double decay = RateDecay(now) * (1 - kFailureSampleWeight);
  failure_rate_ = failure_rate_ * decay + (failed ? kFailureSampleWeight : 0);
  refusal_rate_ = refusal_rate_ * decay + (refused ? kFailureSampleWeight : 0);
  if (refused && !IsPaused(now)) refused_until_ = now + kRefusalTime;
  if (outcome == CallOutcome::kAnswered || outcome == CallOutcome::kShed) {
    last_answer_ = now;
    consecutive_failures_ = 0;
    retry_at_ = {};
    unreachable_until_ = {};
  }
  if (outcome == CallOutcome::kAnswered) {
    if (sent >= paused_until_) on_trial_ = false;
    if (refused_until_ && sent >= *refused_until_) {
      refused_until_.reset();
      refusal_rate_ = 0;
    }
    base::Duration sample = now - sent;
    if (route != nullptr) UpdateRoute(route, sample, now);
    if (mean_ == base::Duration::zero()) {
      mean_ = sample;
      deviation_ = sample / 2;
    } else {
      // Limits the sample, so that a single pause of the leaf does not count as
      // its usual latency.
      sample = std::min(sample, 2 * mean_ + 4 * deviation_ + kTimerMargin);
      const base::Duration error = sample - mean_;
      mean_ += error / kMeanDivisor;
      deviation_ +=
          ((error < base::Duration::zero() ? -error : error) - deviation_) /
          kDeviationDivisor;
    }
  }
  last_sample_ = now;
  if (outcome == CallOutcome::kFailed || outcome == CallOutcome::kLost ||
      outcome == CallOutcome::kUnreachable) {
    ++consecutive_failures_;
    if (outcome == CallOutcome::kUnreachable ||
        consecutive_failures_ >= kFailuresBeforeBackoff) {
      const auto doublings =
          std::min(consecutive_failures_ - 1, kMaxBackoffDoublings);
      retry_at_ = now + kInitialBackoff * (1U << doublings);
      if (outcome == CallOutcome::kUnreachable) unreachable_until_ = retry_at_;
    }
  }
}

base::Duration LeafRecord::WayTime() const {
  return DefaultLatency() - DefaultLatencyAt(Distance::kSameZone);
}

bool LeafRecord::FollowsRoute(const RouteLatency* route) const {
  return route != nullptr && route->is_known() &&
         (answered_other_routes_ || answered_route_.get() != route);
}

void LeafRecord::UpdateRoute(const std::shared_ptr<RouteLatency>& route,
                             base::Duration latency, base::TimePoint now) {
  if (answered_route_ == nullptr) answered_route_ = route;
  if (answered_route_ != route) answered_other_routes_ = true;
  const base::Duration time =
      std::max<base::Duration>(latency - WayTime(), kMinWork);
  if (route->is_known()) {
    const double ratio = std::clamp(
        Seconds(time) /
            Seconds(std::max<base::Duration>(route->mean(), kMinWork)),
        1 / kMaxRatio, kMaxRatio);
    const double factor = LatencyFactor(now);
    latency_factor_ = factor + (ratio - factor) / kMeanDivisor;
  }
  route->OnAnswer(time);
}

double LeafRecord::LatencyFactor(base::TimePoint now) const {
  const double age =
      std::min(1.0, Seconds(now - last_sample_) / Seconds(kEstimateDecayTime));
  return latency_factor_ + (1 - latency_factor_) * age;
}

void LeafRecord::OnAnswerTo(base::TimePoint sent) {
  if (doubtful_since_ && sent >= *doubtful_since_) doubtful_since_.reset();
}

bool LeafRecord::IsDoubtful(base::TimePoint now) const {
  return doubtful_since_ && now < *doubtful_since_ + kDoubtTime;
}

double LeafRecord::RateDecay(base::TimePoint now) const {
  return std::exp(-Seconds(now - last_sample_) / kFailureDecaySeconds);
}

base::Duration LeafRecord::DefaultLatency() const {
  return DefaultLatencyAt(distance_);
}

base::Duration LeafRecord::Mean(base::TimePoint now) const {
  if (mean_ == base::Duration::zero()) return DefaultLatency();
  if (mean_ <= DefaultLatency()) return mean_;
  const double age =
      std::min(1.0, Seconds(now - last_sample_) / Seconds(kEstimateDecayTime));
  return mean_ + std::chrono::duration_cast<base::Duration>(
                     (DefaultLatency() - mean_) * age);
}

base::Duration LeafRecord::ExpectedLatency(base::TimePoint now,
                                           const RouteLatency* route) const {
  if (route == nullptr || !route->is_known()) return Mean(now);
  return WayTime() + std::chrono::duration_cast<base::Duration>(
                         std::max<base::Duration>(route->mean(), kMinWork) *
                         LatencyFactor(now));
}

base::Duration LeafRecord::LoadAdjustedMean(base::TimePoint now,
                                            const RouteLatency* route) const {
  const auto slots =
      static_cast<double>(std::max<std::size_t>(1, entry_.slots));
  const auto running = static_cast<double>(calls_.size());
  const bool has_estimate = route != nullptr && route->is_known();
  const double slope = has_estimate ? kLeafLoadSlope : kHostLoadSlope;
  // Calls in the slots slow each other down; calls beyond the slots queue.
  const double load =
      1 + slope * running / slots + std::max(0.0, running + 1 - slots) / slots;
  return std::chrono::duration_cast<base::Duration>(
      ExpectedLatency(now, route) * load);
}

base::Duration LeafRecord::BusyTime(base::TimePoint now) const {
  return calls_.empty() ? base::Duration::zero() : LoadAdjustedMean(now);
}

base::Duration LeafRecord::Cost(base::TimePoint now,
                                const RouteLatency* route) const {
  base::Duration cost = LoadAdjustedMean(now, route);
  cost += std::chrono::duration_cast<base::Duration>(
      kFailurePenalty * failure_rate() * RateDecay(now));
  if (HasOverdueCall(now)) cost += kOverduePenalty;
  if (IsCold(now)) cost += kColdPenalty;
  return cost;
}

base::Duration LeafRecord::HedgeDelay(base::TimePoint now,
                                      const RouteLatency* route) const {
  if (FollowsRoute(route)) {
    const auto expected = std::chrono::duration_cast<base::Duration>(
        (route->mean() + kOverdueDeviations * route->deviation()) *
        LatencyFactor(now));
    return std::max<base::Duration>(WayTime() + expected + kTimerMargin,
                                    kMinHedgeDelay);
  }
  if (mean_ == base::Duration::zero()) return 2 * DefaultLatency();
  const base::Duration overdue =
      Mean(now) + kOverdueDeviations * deviation_ + kTimerMargin;
  return std::max<base::Duration>(overdue, kMinHedgeDelay);
}

const LeafRecord::RunningCall* LeafRecord::OldestUnanswered() const {
  const auto unanswered = std::find_if(
      calls_.begin(), calls_.end(),
      [this](const auto& call) { return call.sent >= last_answer_; });
  return unanswered == calls_.end() ? nullptr : &*unanswered;
}

bool LeafRecord::HasOverdueCall(base::TimePoint now) const {
  const RunningCall* oldest = OldestUnanswered();
  return oldest != nullptr &&
         now - oldest->sent > HedgeDelay(now, oldest->route.get());
}

bool LeafRecord::IsUnresponsive(base::TimePoint now) const {
  if (now < unreachable_until_) return true;
  const RunningCall* oldest = OldestUnanswered();
  return oldest != nullptr &&
         now - oldest->sent >
             std::max<base::Duration>(kUnresponsiveAfter,
                                      2 * HedgeDelay(now, oldest->route.get()));
}

}  // namespace berylreach::forward
