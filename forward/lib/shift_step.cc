// Decides the next step of a version shift.
#include "berylreach/forward/shift_step.h"

#include <algorithm>
#include <utility>

namespace berylreach::forward {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Time before the deadline at which kFull is due: enough for hosts to confirm
/// it, or for the settle time.
constexpr seconds kReserve{10};
constexpr double kReserveShare = 0.45;

/// The load test lasts this part of the duration.
constexpr int kLoadDivisor = 6;

/// A target without leaves for this long has failed. Leaves that crash are
/// listed again within a few seconds.
constexpr seconds kLeavesGone{5};

/// An order for a version is complete at once if no leaf of another version has
/// been listed for this long.
constexpr seconds kVersionAlone{1};

/// If the other versions have answered this many calls and the target none, its
/// leaves do not work.
constexpr std::uint64_t kMinCallsOfOthers = 100;

/// Part of the reserve for which the target is judged in kFull, while the other
/// versions can still be returned to.
constexpr double kJudgedReserve = 0.6;

/// Time from the order until the shift may be complete.
base::Duration CompleteDue(milliseconds duration) {
  const milliseconds full_due = FullDue(duration);
  return full_due + std::chrono::duration_cast<base::Duration>(
                        (duration - full_due) * kJudgedReserve);
}

VersionShiftStatus Draft(const VersionShiftStatus& status, ShiftState state,
                         ShiftStage stage, std::string cause) {
  VersionShiftStatus draft = status;
  draft.state = state;
  draft.stage = stage;
  draft.cause = std::move(cause);
  return draft;
}

VersionShiftStatus RolledBack(const VersionShiftStatus& status,
                              std::string cause) {
  return Draft(status, ShiftState::kRolledBack, status.stage, std::move(cause));
}

/// Versions that are withheld while the shift to `target` runs.
std::vector<std::string> Withheld(
    const std::optional<VersionShiftStatus>& former,
    const std::string& target) {
  if (!former) return {};
  std::vector<std::string> withheld = former->withheld;
  if (former->state != ShiftState::kComplete)
    withheld.push_back(former->target_version);
  std::vector<std::string> result;
  for (const std::string& version : withheld) {
    std::erase(result, version);
    if (version != target) result.push_back(version);
  }
  if (result.size() > VersionShiftStatus::kMaxWithheldVersions)
    result.erase(result.begin(),
                 result.end() - static_cast<std::ptrdiff_t>(
                                    VersionShiftStatus::kMaxWithheldVersions));
  return result;
}

std::optional<VersionShiftStatus> FirstStatus(const ShiftSituation& now) {
  const std::string& target = now.order->target_version;
  VersionShiftStatus draft{.service = now.order->service,
                           .state = ShiftState::kRunning,
                           .stage = ShiftStage::kObserve,
                           .target_version = target,
                           .duration = now.order->duration,
                           .withheld = Withheld(now.status, target),
                           .cause = "order"};
  const bool is_alone = now.target_listed > 0 && now.others_listed == 0;
  const bool was_rolled_back = now.status &&
                               now.status->target_version == target &&
                               now.status->state == ShiftState::kRolledBack;
  if (!is_alone || was_rolled_back) return draft;
  const bool was_complete = now.status &&
                            now.status->target_version == target &&
                            now.status->state == ShiftState::kComplete;
  if (!was_complete && now.others_gone_for < kVersionAlone) return std::nullopt;
  draft.state = ShiftState::kComplete;
  draft.stage = ShiftStage::kFull;
  draft.cause = "no other version is in use";
  return draft;
}

std::optional<std::string> CauseOfRollback(const ShiftSituation& now,
                                           bool is_full_due) {
  if (now.verdict == VersionVerdict::kBad)
    return now.bad_route.empty() ? "bad answers"
                                 : "bad answers on route " + now.bad_route;
  if (now.target_listed == 0) {
    if (is_full_due && !now.target_was_listed)
      return "no leaf of the version was listed";
    const bool is_gone =
        now.target_was_listed && now.target_gone_for >= kLeavesGone;
    if (is_gone || (is_full_due && now.status->stage != ShiftStage::kFull))
      return "the leaves of the version are gone";
  }
  return std::nullopt;
}

/// The step from kObserve or kLoad once kFull is due.
std::optional<VersionShiftStatus> StepToFull(const ShiftSituation& now) {
  const VersionShiftStatus& status = *now.status;
  if (now.final_verdict == VersionVerdict::kBad)
    return RolledBack(status, "bad answers at the end of the observation");
  if (now.target.calls == 0 && now.others.calls >= kMinCallsOfOthers)
    return RolledBack(status, "the version has answered no call");
  const milliseconds last_chance =
      (FullDue(status.duration) + status.duration) / 2;
  const bool may_wait = now.elapsed < last_chance;
  if (now.target_warm == 0 && !may_wait)
    return RolledBack(status, "the leaves of the version are cold");
  const bool is_in_doubt = now.final_verdict == VersionVerdict::kUndecided;
  if (may_wait && (now.target_warm == 0 || is_in_doubt)) return std::nullopt;
  return Draft(status, ShiftState::kRunning, ShiftStage::kFull,
               "no bad answers beyond the other versions' rate");
}

std::optional<VersionShiftStatus> NextOfRunning(const ShiftSituation& now) {
  const VersionShiftStatus& status = *now.status;
  const milliseconds full_due = FullDue(status.duration);
  const bool is_full_due = now.elapsed >= full_due;
  if (const auto cause = CauseOfRollback(now, is_full_due))
    return RolledBack(status, *cause);
  if (status.stage == ShiftStage::kFull) {
    const bool is_complete_due = now.elapsed >= CompleteDue(status.duration);
    if (!is_complete_due || !now.settled || now.target_listed == 0)
      return std::nullopt;
    return Draft(status, ShiftState::kComplete, ShiftStage::kFull,
                 "all hosts use the version");
  }
  const bool is_load_over =
      status.stage != ShiftStage::kLoad ||
      now.in_stage_for >= status.duration / kLoadDivisor ||
      now.elapsed >= (full_due + status.duration) / 2;
  if (is_full_due && is_load_over) return StepToFull(now);
  if (status.stage == ShiftStage::kObserve && now.elapsed >= full_due / 2 &&
      now.target_warm > 0 && !is_full_due)
    return Draft(status, ShiftState::kRunning, ShiftStage::kLoad, "load test");
  return std::nullopt;
}

}  // namespace

milliseconds FullDue(milliseconds duration) {
  const milliseconds share(static_cast<milliseconds::rep>(
      kReserveShare * static_cast<double>(duration.count())));
  return duration - std::min<milliseconds>(kReserve, share);
}

std::optional<VersionShiftStatus> NextStatus(const ShiftSituation& situation) {
  const std::optional<VersionShiftStatus>& status = situation.status;
  if (!situation.order) {
    if (!status || status->state != ShiftState::kRunning) return std::nullopt;
    return RolledBack(*status, situation.malformed
                                   ? "the order was replaced by a malformed one"
                                   : "the order was withdrawn");
  }
  if (!situation.status_answers_order) return FirstStatus(situation);
  if (status->is_verdict()) return std::nullopt;
  return NextOfRunning(situation);
}

}  // namespace berylreach::forward
