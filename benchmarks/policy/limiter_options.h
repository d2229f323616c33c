// Parameters of the limiter comparisons.
#pragma once

#include <cstdint>

#include "berylreach/base/clock.h"

namespace berylreach::bench {

/// How many calls the hosts send to a leaf at the same time.
enum class LimitScope {
  kUnlimited,       ///< No limit; failed calls are retried on a random replica.
  kEachHost,        ///< Each host sends as many calls as the leaf has slots.
  kFixedShares,     ///< Each host has slots / hosts of the slots, at least one.
  kRotatingShares,  ///< Each slot belongs to one host at a time, in turns.
  kOwner,           ///< All calls pass through the owner of the leaf.
};

/// How the concurrency limit of a leaf rises after evidence of a cold start.
enum class ColdStartRule {
  kLeafGate,  ///< limits::LeafGate: from 1, by 1 after every `limit` successes.
  kStepwise,  ///< The rule of kLeafGate in PlainGate.
  kAllAtOnce,  ///< 1 until the first successful completion, then all slots.
  kNone,       ///< Always all slots.
};

struct LimiterOptions {
  LimitScope scope = LimitScope::kOwner;
  ColdStartRule cold_start_rule = ColdStartRule::kLeafGate;
  /// Half of the queries arrive at one host.
  bool uneven = false;
  /// One-way network delay within a zone.
  base::Duration delay_within_zone = std::chrono::microseconds(500);
  /// One-way network delay between two zones.
  base::Duration delay_between_zones = std::chrono::milliseconds(20);
  /// Duration of a turn (kRotatingShares).
  base::Duration turn_duration = std::chrono::milliseconds(25);
  /// A leaf with more calls than slots runs all of them and sheds none; each
  /// call that starts takes longer by the ratio of running calls to slots.
  bool slow_overload = false;

  /// Time between two restarts, of one leaf after another; zero: no restarts.
  base::Duration restart_interval{0};
  /// Time from the end of a leaf process to the start of the next one.
  base::Duration down_time = std::chrono::milliseconds(500);
  /// Time between two status reads of a leaf: that of
  /// transport::UpstreamClient, but also used while the leaf is down.
  base::Duration status_interval = std::chrono::seconds(1);
  /// A restarted leaf can handle one call at a time, and one more after every
  /// `completions_per_call` completions, up to its slots. With 0, it can fill
  /// all its slots after the first completion.
  std::uint32_t completions_per_call = 0;
};

}  // namespace berylreach::bench
