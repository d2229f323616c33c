// What a host's version shifts are told about calls, and what they show.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "berylreach/base/clock.h"
#include "berylreach/forward/leaf_record.h"
#include "berylreach/forward/version_shift.h"

namespace berylreach::forward {

/// How a host has got a record of the store.
enum class RecordSource {
  /// With a complete listing, which shows no changes.
  kListing,
  /// As a change.
  kChange,
};

/// How a leaf's answer counts.
enum class AnswerClass { kGood, kFailed, kSlow, kNotCounted };

/// The end of a call to a leaf.
struct EndedCall {
  /// Name of the route.
  std::string route;
  CallOutcome outcome = CallOutcome::kAnswered;
  /// Time from the sending of the call until its end.
  base::Duration latency{};
  /// Whether the leaf was cold when the call was sent.
  bool was_cold = false;
  /// Whether the leaf has sent something that is no valid answer. Counts as
  /// failed, also if the outcome is kLost.
  bool broken_answer = false;
  /// Whether the request is suspected of crashing leaves. Not counted.
  bool suspect = false;
};

/// Gauges of one service's shift on this host.
struct VersionShiftGauges {
  std::string service;
  std::string target_version;
  /// The status in force; empty if there is none.
  std::optional<VersionShiftStatus> status;
  std::uint64_t target_calls_sent = 0;
  std::uint64_t other_calls_sent = 0;
  VersionCounts target;
  VersionCounts others;
  /// Whether this host's own counts have made it stop using the target.
  bool stopped_here = false;
};

}  // namespace berylreach::forward
