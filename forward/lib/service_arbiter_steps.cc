// Decides which step of a shift this host takes, and when.
#include <algorithm>
#include <utility>

#include "berylreach/forward/service_arbiter.h"

namespace berylreach::forward {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A host of rank r takes a step if it has not happened this long times r after
/// it was due.
constexpr seconds kDelayPerRank{1};

/// Additional delay of steps towards the target at a host that gets no reports
/// although it is not one of the first two: the hosts before it may know
/// answers that it does not.
constexpr seconds kDelayWithoutReports{4};
constexpr std::size_t kReportedRanks = 2;

/// Time within which hosts in touch learn of a status.
constexpr milliseconds kStaleness{3500};

/// A call of the store that has ended in no way after this time is taken as
/// lost.
constexpr seconds kMaxCallTime{10};

}  // namespace

const std::optional<VersionShiftOrder>& ServiceArbiter::Order() const {
  return records_ ? records_->order : order_;
}

bool ServiceArbiter::IsMalformed() const {
  return records_ ? records_->order_revision > 0 && !records_->order
                  : malformed_;
}

bool ServiceArbiter::AnswersOrder() const {
  const std::optional<VersionShiftOrder>& order = Order();
  if (!known_ || !order || known_->target_version != order->target_version)
    return false;
  return records_ ? records_->order_revision == known_->order.revision
                  : !maybe_repeated_;
}

bool ServiceArbiter::ReadSameOrder() const {
  return records_ && records_->order && known_ &&
         records_->order->target_version == known_->target_version &&
         records_->order_revision == known_->order.revision;
}

base::Duration ServiceArbiter::Elapsed() const {
  const base::TimePoint now = clock_.Now();
  if (AnswersOrder())
    return std::max(known_->elapsed + (now - known_at_), evidence_->Elapsed());
  // If this host has missed that the order was written again, it knows the time
  // of the former one only.
  const bool saw_order = !known_ || order_seen_at_ > known_at_;
  return saw_order ? now - order_seen_at_ : base::Duration::zero();
}

base::Duration ServiceArbiter::SettleTime() const {
  return kStaleness + (facts_ ? facts_->longest_timeout : milliseconds(0));
}

ShiftSituation ServiceArbiter::Situation() const {
  const base::TimePoint now = clock_.Now();
  ShiftSituation situation{.order = Order(),
                           .malformed = IsMalformed(),
                           .status = known_,
                           .status_answers_order = AnswersOrder(),
                           .target_was_listed = target_was_listed_,
                           .elapsed = Elapsed(),
                           .in_stage_for = now - stage_since_};
  if (situation.order && facts_) {
    for (const auto& [version, leaves] : facts_->leaves) {
      if (version == situation.order->target_version) {
        situation.target_listed = leaves.listed;
        situation.target_warm = leaves.warm;
      } else {
        situation.others_listed += leaves.listed;
      }
    }
  }
  if (target_gone_since_) situation.target_gone_for = now - *target_gone_since_;
  if (others_gone_since_) situation.others_gone_for = now - *others_gone_since_;
  if (evidence_ == nullptr || !situation.status_answers_order) return situation;
  // A complete shift that the store has lost is not judged again.
  if (completed_order_ != known_->order) {
    situation.verdict = evidence_->judge().verdict();
    situation.final_verdict = evidence_->judge().FinalVerdict();
    situation.bad_route = evidence_->judge().bad_route();
  }
  situation.target = evidence_->totals().TargetSum();
  situation.others = evidence_->totals().OthersSum();
  // Hosts keep a newer status that the store has lost for the grace period.
  situation.settled = evidence_->IsSettled(
      hosts_, known_->step, std::max(stage_since_, grace_until_), SettleTime());
  return situation;
}

bool ServiceArbiter::IsReturnToComplete(
    const VersionShiftStatus& status) const {
  return known_ && known_->state == ShiftState::kComplete &&
         status.order == known_->order &&
         status.state == ShiftState::kRunning &&
         status.stage == ShiftStage::kFull;
}

VersionShiftStatus ServiceArbiter::LackingStatus() const {
  VersionShiftStatus status = *known_;
  if (status.state != ShiftState::kComplete || others_gone_since_)
    return status;
  // Hosts that know a later order, which the store has lost too, may use other
  // versions again.
  status.state = ShiftState::kRunning;
  status.stage = ShiftStage::kFull;
  status.cause = "the store has lost a complete shift";
  return status;
}

std::optional<VersionShiftStatus> ServiceArbiter::Next() const {
  if (is_lacking_) return LackingStatus();
  // The store may lack an order for a while after it has come back from a copy,
  // or the status that answers it.
  if (IsInGrace() && !AnswersOrder()) return std::nullopt;
  std::optional<VersionShiftStatus> next = NextStatus(Situation());
  const bool is_reversal = next && known_ &&
                           completed_order_ == known_->order &&
                           next->state == ShiftState::kRolledBack;
  if (is_reversal) return std::nullopt;
  return next;
}

base::Duration ServiceArbiter::Delay(const VersionShiftStatus& next) const {
  base::Duration delay = kDelayPerRank * rank_;
  const bool is_towards_target =
      next.state == ShiftState::kComplete ||
      (next.state == ShiftState::kRunning && next.stage == ShiftStage::kFull);
  const bool has_reports =
      evidence_ != nullptr && evidence_->HasRecentReports();
  if (is_towards_target && rank_ >= kReportedRanks && !has_reports)
    delay += kDelayWithoutReports;
  return delay;
}

void ServiceArbiter::Tick(Actions& actions) {
  const base::TimePoint now = clock_.Now();
  if (pending_ != Pending::kNone && now - pending_since_ >= kMaxCallTime)
    OnCallFailed();
  if (rank_ >= hosts_.size()) return;
  UpdateGone();
  if (evidence_ != nullptr && AnswersOrder() && !known_->is_verdict()) {
    const ShiftSituation situation = Situation();
    evidence_->Judge(known_->stage != ShiftStage::kFull,
                     situation.target_listed);
  }
  const std::optional<VersionShiftStatus> next = Next();
  const bool is_due_step = next && due_ && due_->status.state == next->state &&
                           due_->status.stage == next->stage &&
                           due_->status.target_version == next->target_version;
  if (!next) due_.reset();
  if (next && !is_due_step) due_ = DueStep{*next, now};
  if (pending_ != Pending::kNone || now < retry_at_) return;
  if (next) {
    if (now - due_->since < Delay(*next)) return;
    if (records_) {
      Write(*next, actions);
    } else {
      Read(actions);
    }
    return;
  }
  if (check_since_ && now - *check_since_ >= kDelayPerRank * rank_)
    Read(actions);
}

void ServiceArbiter::Read(Actions& actions) {
  pending_ = Pending::kRead;
  pending_since_ = clock_.Now();
  actions.push_back(ReadShiftRecords{service_});
}

void ServiceArbiter::Write(VersionShiftStatus next, Actions& actions) {
  next.service = service_;
  const bool is_first =
      next.state != ShiftState::kRolledBack && !AnswersOrder();
  if (is_first) {
    next.order = {
        .era = std::max(records_->era, known_ ? known_->order.era : 0),
        .revision = records_->order_revision};
    next.step = 1;
  } else {
    next.order = known_->order;
    next.step =
        std::max(known_->step, evidence_ ? evidence_->highest_step() : 0) + 1;
  }
  next.elapsed = std::chrono::duration_cast<milliseconds>(std::max(
      Elapsed(),
      base::Duration(known_ && !is_first ? known_->elapsed : milliseconds(0))));
  next.writer = self_;
  written_ = next;
  pending_ = Pending::kWrite;
  pending_since_ = clock_.Now();
  actions.push_back(
      WriteShiftStatus{.status = std::move(next),
                       .expect_order_revision = records_->order_revision,
                       .expect_status_revision = records_->status_revision});
}

}  // namespace berylreach::forward
