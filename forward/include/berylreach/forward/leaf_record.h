// What a host knows about one leaf: the entry in service discovery and the
// host's own observations.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>

#include "berylreach/base/clock.h"
#include "berylreach/forward/leaf_entry.h"
#include "berylreach/forward/route_latency.h"

namespace berylreach::forward {

/// Distance of a leaf from this host.
enum class Distance { kSameZone, kSameRegion, kOtherRegion };

/// Outcome of a call to a leaf.
enum class CallOutcome {
  /// A complete answer with a success status.
  kAnswered,
  /// The leaf refused without running the call.
  kShed,
  /// An answer with a failure status or without a signature.
  kFailed,
  /// The connection ended before a valid answer.
  kLost,
  /// The connection could not be opened, or the leaf did not answer.
  kUnreachable,
  /// The answer shows that another process now uses the address.
  kReplaced,
  /// The host cancelled the call; this says nothing about the leaf.
  kCancelled,
};

/// Tracks the latency and health of one leaf, or of another host that runs
/// groups of shards. Latency is estimated by a smoothed mean and deviation, as
/// in TCP's retransmission timer (RFC 6298).
///
/// What it remembers, and for how long: that the leaf is leaving, until it is
/// removed; a pause, until its end, and after it that one call at a time is
/// sent, until one is answered; a refusal, for a second, and after it that a
/// trial call is due, until one is answered; the rates of failures and of
/// refusals, which decay within seconds, the latter also at the answer to the
/// trial call; a low mean latency until a trial call corrects it, which is due
/// after a second without samples; a high one for 6 s; a doubt for 2 s or until
/// an answer; unreachability, until the end of a back-off of 0.1
/// to 1.6 s.
class LeafRecord {
 public:
  LeafRecord(LeafEntry entry, Distance distance, std::string region,
             base::TimePoint now);

  const LeafEntry& entry() const { return entry_; }
  Distance distance() const { return distance_; }
  const std::string& region() const { return region_; }
  /// Number of calls of this host that are running on the leaf.
  std::size_t running() const { return calls_.size(); }

  /// Applies a newer entry of the same incarnation.
  void Update(LeafEntry entry, base::TimePoint now);

  /// Marks the leaf as cold for the duration `left` from `now`.
  void SetColdFor(base::Duration left, base::TimePoint now);
  bool IsCold(base::TimePoint now) const { return now < cold_until_; }
  base::TimePoint cold_until() const { return cold_until_; }

  /// Records that another process uses the address, or that the entry was
  /// removed.
  void MarkRemoved() { removed_ = true; }
  bool removed() const { return removed_; }

  /// Records that the leaf is leaving; it gets no new calls, whatever discovery
  /// lists.
  void MarkLeaving() { leaving_ = true; }
  bool leaving() const { return leaving_; }

  /// Records that the leaf accepts no calls before `until`; with several
  /// pauses, the latest end applies. After the pause, the leaf gets one call at
  /// a time until it has answered one.
  void PauseUntil(base::TimePoint until);
  bool IsPaused(base::TimePoint now) const { return now < paused_until_; }
  base::TimePoint paused_until() const { return paused_until_; }
  /// Whether the leaf should get one call now although others are expected to
  /// answer sooner, because it refused calls and has answered none since, or
  /// because its latency is not known or outdated. Due once a second.
  bool IsTrialDue(base::TimePoint now) const;
  /// Whether the leaf's own statements (leaving, paused) allow a call now,
  /// including the limit of one call at a time after a pause.
  bool AcceptsCall(base::TimePoint now) const;

  /// Records the calls per second that the leaf accepts from all hosts
  /// together, or that it has ended its limit.
  void SetRateLimit(std::optional<double> rate) { rate_limit_ = rate; }
  std::optional<double> rate_limit() const { return rate_limit_; }

  /// Records that a call was sent at `now`. `route` is the estimate of the
  /// calls of its route, which the answer updates; null if there is none.
  void OnCallSent(base::TimePoint now,
                  std::shared_ptr<RouteLatency> route = nullptr);
  /// Records that a call ended at `now`; `sent` must be the time that was
  /// passed to OnCallSent.
  void OnCallEnded(base::TimePoint sent, base::TimePoint now,
                   CallOutcome outcome);

  /// Records that the leaf may be down, since a connection to it was reset or
  /// another host got no answer from it: the next connection may get no answer
  /// for a while.
  void MarkDoubtful(base::TimePoint now) { doubtful_since_ = now; }
  /// Records that the leaf has answered a call or a health check that was sent
  /// at `sent`.
  void OnAnswerTo(base::TimePoint sent);
  /// Whether the leaf was marked recently and has answered nothing that was
  /// sent since. A call that must not be lost goes to another leaf.
  bool IsDoubtful(base::TimePoint now) const;

  /// Expected latency of a new call, including the load of this host's running
  /// calls and penalties for recent failures, an overdue call and a cold leaf.
  /// `route` is the estimate of the call's route, or null.
  base::Duration Cost(base::TimePoint now,
                      const RouteLatency* route = nullptr) const;

  /// Expected latency of a new call, without penalties; zero if the leaf runs
  /// no call of this host, so that a leaf that was slow gets calls again and
  /// its recovery is noticed.
  base::Duration BusyTime(base::TimePoint now) const;

  /// Time without an answer after which another leaf is likely to be faster,
  /// for a call of `route`, which may be null. It is derived from the calls of
  /// the route at all leaves, unless this leaf has answered calls of this route
  /// only.
  base::Duration HedgeDelay(base::TimePoint now,
                            const RouteLatency* route = nullptr) const;

  /// Factor by which the leaf is slower than other leaves that serve the same
  /// routes. Without new samples it goes to 1.
  double LatencyFactor(base::TimePoint now) const;
  /// When a call last ended without having been cancelled.
  base::TimePoint last_sample() const { return last_sample_; }

  /// Whether a call has been unanswered for longer than HedgeDelay and the leaf
  /// has answered no other call since that one was sent.
  bool HasOverdueCall(base::TimePoint now) const;

  /// Whether the leaf has had an overdue call for longer than a process is
  /// usually paused, or was unreachable recently. A leaf that recovers answers
  /// a call that is still waiting, or a call that is sent after the back-off.
  bool IsUnresponsive(base::TimePoint now) const;

  /// Whether the leaf is avoided after failures until the next trial call is
  /// due.
  bool IsBackedOff(base::TimePoint now) const { return now < retry_at_; }

  /// Fraction of recent calls that failed or were shed, 0 to 1.
  double failure_rate() const { return failure_rate_ + refusal_rate_; }

 private:
  /// A call that was sent and has not ended.
  struct RunningCall {
    base::TimePoint sent;
    std::shared_ptr<RouteLatency> route;
  };

  /// The oldest call that was sent after the last answer; null if there is
  /// none.
  const RunningCall* OldestUnanswered() const;
  /// Updates the factor and the estimate of the route after an answered call.
  void UpdateRoute(const std::shared_ptr<RouteLatency>& route,
                   base::Duration latency, base::TimePoint now);
  /// Whether the latency of a call of `route` is better estimated from the
  /// route's calls at all leaves than from those at this leaf.
  bool FollowsRoute(const RouteLatency* route) const;
  /// The part of the latency that is due to the distance.
  base::Duration WayTime() const;
  /// Factor by which the rates have decayed since the last sample.
  double RateDecay(base::TimePoint now) const;
  /// Latency assumed for a leaf at this distance without samples.
  base::Duration DefaultLatency() const;
  /// The smoothed mean latency, increased for the load of this host's running
  /// calls.
  base::Duration LoadAdjustedMean(base::TimePoint now,
                                  const RouteLatency* route = nullptr) const;
  /// The expected latency of a call of `route` without load: the mean of the
  /// route times the factor of the leaf, or Mean if there is no estimate.
  base::Duration ExpectedLatency(base::TimePoint now,
                                 const RouteLatency* route) const;
  /// The smoothed mean latency. Without new samples, a high mean decays to the
  /// default.
  base::Duration Mean(base::TimePoint now) const;

  LeafEntry entry_;
  Distance distance_;
  std::string region_;
  bool removed_ = false;
  bool leaving_ = false;
  base::TimePoint paused_until_{};
  std::optional<double> rate_limit_;
  /// Whether the leaf was paused and has answered no call that was sent after
  /// the pause.
  bool on_trial_ = false;
  base::TimePoint cold_until_{};
  /// Running calls in the order in which they were sent.
  std::deque<RunningCall> calls_;
  base::TimePoint last_answer_{};
  base::TimePoint last_sample_{};
  base::Duration mean_{0};
  base::Duration deviation_{0};
  /// The route of the first answered call, and whether calls of other routes
  /// have been answered since.
  std::shared_ptr<RouteLatency> answered_route_;
  bool answered_other_routes_ = false;
  double latency_factor_ = 1;
  double failure_rate_ = 0;
  double refusal_rate_ = 0;
  /// Time from which the leaf is tried again after it refused a call; empty
  /// once it has answered a call that was sent since.
  std::optional<base::TimePoint> refused_until_;
  base::TimePoint next_trial_{};
  std::uint32_t consecutive_failures_ = 0;
  base::TimePoint retry_at_{};
  /// Same as retry_at_, but set only if the leaf could not be reached.
  base::TimePoint unreachable_until_{};
  /// When the leaf was last marked; empty once it has answered since.
  std::optional<base::TimePoint> doubtful_since_;
};

}  // namespace berylreach::forward
