// What a host knows of one leaf: its entry and its own observations.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include "berylreach/base/clock.h"
#include "berylreach/forward/leaf_entry.h"

namespace berylreach::forward {

/// How far a leaf is from this host.
enum class Distance { kSameZone, kSameRegion, kOtherRegion };

/// How a call to a leaf ended.
enum class CallOutcome {
  /// A complete answer of success.
  kAnswered,
  /// The leaf refused without running the call.
  kShed,
  /// An answer of failure, a broken answer, or a lost connection.
  kFailed,
  /// The connection could not be opened or the leaf stayed silent.
  kUnreachable,
  /// Another process has the address.
  kReplaced,
  /// The host gave the call up; this says nothing about the leaf.
  kCancelled,
};

/// Observations of one leaf. Latency estimates follow the smoothed mean and
/// deviation of TCP's retransmission timer.
class LeafRecord {
 public:
  LeafRecord(LeafEntry entry, Distance distance, std::string region,
             base::TimePoint now);

  const LeafEntry& entry() const { return entry_; }
  Distance distance() const { return distance_; }
  const std::string& region() const { return region_; }
  std::size_t running() const { return sent_at_.size(); }

  /// A newer entry of the same incarnation.
  void Update(LeafEntry entry, base::TimePoint now);

  /// The leaf stays cold for `left` from `now`.
  void SetColdFor(base::Duration left, base::TimePoint now);
  bool IsCold(base::TimePoint now) const { return now < cold_until_; }

  /// The address answers as another process, or the entry is gone.
  void MarkGone() { gone_ = true; }
  bool gone() const { return gone_; }

  /// The leaf leaves: it gets no new calls, whatever discovery says.
  void MarkLeaving() { leaving_ = true; }
  bool leaving() const { return leaving_; }

  /// The leaf wants no calls before `until`; of several ends the latest holds.
  /// Afterwards it gets one call at a time until it has answered one.
  void PauseUntil(base::TimePoint until);
  bool IsPaused(base::TimePoint now) const { return now < paused_until_; }
  base::TimePoint paused_until() const { return paused_until_; }
  /// Whether what the leaf has said of itself allows a call now.
  bool AcceptsCall(base::TimePoint now) const;

  void OnCallSent(base::TimePoint now);
  /// `sent` is the time given to OnCallSent.
  void OnCallEnded(base::TimePoint sent, base::TimePoint now,
                   CallOutcome outcome);

  /// Expected time to an answer of a new call, with the running calls of this
  /// host and its recent failures taken into account.
  base::Duration Cost(base::TimePoint now) const;

  /// Expected time to an answer of a new call to a leaf that is busy with calls
  /// of this host; zero for one that is not, so that it is noticed when the
  /// leaf recovers.
  base::Duration BusyTime(base::TimePoint now) const;

  /// After this time without an answer another leaf is likely to be faster.
  base::Duration HedgeDelay(base::TimePoint now) const;

  /// A call has been unanswered for longer than HedgeDelay and nothing was
  /// heard since it was sent.
  bool IsSilent(base::TimePoint now) const;

  /// The leaf has been silent for longer than leaves pause, or its connections
  /// could not be opened a moment ago. A call that is still unanswered, or one
  /// after the back-off, shows its return.
  bool IsUnresponsive(base::TimePoint now) const;

  /// Recent failures: the leaf is left out until a trial call is due.
  bool IsBackedOff(base::TimePoint now) const { return now < retry_at_; }

  /// Recent share of calls that failed or were shed, 0 to 1.
  double failure_rate() const { return failure_rate_; }

 private:
  /// When the oldest call was sent that nothing was heard since; nothing if
  /// the leaf owes no answer.
  std::optional<base::TimePoint> UnansweredSince() const;
  base::Duration DefaultLatency() const;
  /// The mean, raised by the running calls of this host.
  base::Duration LoadAdjustedMean(base::TimePoint now) const;
  base::Duration Mean(base::TimePoint now) const;

  LeafEntry entry_;
  Distance distance_;
  std::string region_;
  bool gone_ = false;
  bool leaving_ = false;
  base::TimePoint paused_until_{};
  /// No call since the pause has been answered.
  bool on_trial_ = false;
  base::TimePoint cold_until_{};
  /// Sending times of running calls, in order.
  std::deque<base::TimePoint> sent_at_;
  base::TimePoint last_answer_{};
  base::TimePoint last_sample_{};
  base::Duration mean_{0};
  base::Duration deviation_{0};
  double failure_rate_ = 0;
  std::uint32_t failures_in_row_ = 0;
  base::TimePoint retry_at_{};
  /// As retry_at_, for a leaf that could not be reached.
  base::TimePoint unreachable_until_{};
};

}  // namespace berylreach::forward
