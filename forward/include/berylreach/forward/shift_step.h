// The next step of a version shift.
#pragma once

#include <chrono>
#include <optional>
#include <string>

#include "berylreach/base/clock.h"
#include "berylreach/forward/shift_actions.h"
#include "berylreach/forward/version_judge.h"
#include "berylreach/forward/version_shift.h"

namespace berylreach::forward {

/// What an arbiter knows when it decides on the next step.
struct ShiftSituation {
  /// The order in force; empty if there is none or if it is malformed.
  std::optional<VersionShiftOrder> order;
  /// There is an order that cannot be parsed.
  bool malformed = false;
  /// The newest status that is known.
  std::optional<VersionShiftStatus> status;
  /// Whether the status answers the order in force.
  bool status_answers_order = false;
  /// Usable leaves of the service.
  std::size_t target_listed = 0;
  std::size_t target_warm = 0;
  std::size_t others_listed = 0;
  /// For how long no leaf of the target, or of another version, is listed.
  base::Duration target_gone_for{};
  base::Duration others_gone_for{};
  /// Whether a leaf of the target has been listed since the order.
  bool target_was_listed = false;
  /// Time since the order was first handled, and since the stage began.
  base::Duration elapsed{};
  base::Duration in_stage_for{};
  VersionVerdict verdict = VersionVerdict::kUndecided;
  VersionVerdict final_verdict = VersionVerdict::kGood;
  /// Route whose answers are bad; empty for all.
  std::string bad_route;
  VersionCounts target;
  VersionCounts others;
  /// Whether every registered host sends nothing to other versions any more.
  bool settled = false;
};

/// Time from the order until kFull is due: as late as leaves enough time for
/// the shift to be completed before its deadline.
std::chrono::milliseconds FullDue(std::chrono::milliseconds duration);

/// Returns the status to be written now, if any: state, stage, target, duration
/// and cause are set, and `withheld`. The writer sets the others. Never returns
/// another state than the present one once the order in force has a verdict.
std::optional<VersionShiftStatus> NextStatus(const ShiftSituation& situation);

}  // namespace berylreach::forward
