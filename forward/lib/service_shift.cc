// Keeps the state of one service's shift on one host.
#include "berylreach/forward/service_shift.h"

#include <algorithm>
#include <utility>

#include "berylreach/forward/leaf_directory.h"

namespace berylreach::forward {
namespace {

/// In kFull, a host stops using the target by its own counts for at most this
/// long: calls to other versions would otherwise keep the shift from being
/// completed.
constexpr std::chrono::seconds kMaxStopInFull{10};

/// Maximum number of leaves and routes with counts of their own, which bounds
/// the size of a report. Further leaves of a zone are counted together.
constexpr std::size_t kMaxLeafRows = 256;

std::chrono::milliseconds Milliseconds(base::Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

}  // namespace

ServiceShift::ServiceShift(const base::Clock& clock, std::string service,
                           const SlownessEstimate& slowness)
    : clock_(clock),
      service_(std::move(service)),
      slowness_(slowness),
      judge_(std::make_unique<VersionJudge>(clock)) {}

void ServiceShift::ApplyOrder(std::optional<VersionShiftOrder> order,
                              RecordSource source, double share,
                              double slack_part) {
  if (source == RecordSource::kListing && order == order_) return;
  const std::string former_target = target_;
  order_ = std::move(order);
  UpdateVersions();
  if (!order_) return;
  if (target_ != former_target)
    slack_part_ = source == RecordSource::kChange ? slack_part : 0;
  const auto [limit, is_new] = limits_.try_emplace(target_, share, slack_part_);
  if (!is_new && target_ != former_target) limit->second.Restart(slack_part_);
}

void ServiceShift::ApplyStatus(std::optional<VersionShiftStatus> status) {
  stored_ = std::move(status);
  Reconcile();
}

void ServiceShift::OnStoreRestored() {
  grace_until_ = clock_.Now() + LeafDirectory::kStoreRestoreGrace;
  restored_ = true;
}

void ServiceShift::Tick() {
  if (restored_ && !IsInGrace()) Reconcile();
  if (!IsRunning()) return;
  // The number of leaves is not known here; one leaf's evidence is not enough.
  judge_->Update(totals_, !IsFull(), 2);
  const bool is_bad = judge_->verdict() == VersionVerdict::kBad;
  // In kFull, a host that has reported to have no calls to other versions does
  // not send any again: they may be stopped.
  if (is_bad && !stopped_at_ && !has_left_others_) stopped_at_ = clock_.Now();
}

void ServiceShift::Reconcile() {
  if (!status_ ||
      (stored_ && (*stored_ == *status_ || IsNewer(*stored_, *status_)))) {
    if (stored_ == status_) return;
    // The store's content is in force again from here on.
    if (!IsInGrace()) restored_ = false;
    Adopt(stored_);
    return;
  }
  if (IsInGrace()) return;
  if (stored_) {
    const bool is_same_order =
        stored_->order == status_->order &&
        stored_->target_version == status_->target_version;
    if (restored_ && !(is_same_order && status_->is_verdict())) Adopt(stored_);
    return;
  }
  // A host that has seen a version being rolled back does not use it although
  // the store has lost both the order and the verdict.
  const bool keeps_verdict =
      status_->is_verdict() &&
      (order_ ? AnswersOrder()
              : restored_ && status_->state == ShiftState::kRolledBack);
  if (!keeps_verdict) Adopt(std::nullopt);
}

void ServiceShift::Adopt(std::optional<VersionShiftStatus> status) {
  const bool is_other_order = !status || !status_ ||
                              status->order != status_->order ||
                              status->target_version != status_->target_version;
  const bool is_repeated = is_other_order && status && status_ &&
                           status->target_version == status_->target_version;
  if (is_repeated && limits_.contains(status->target_version))
    limits_[status->target_version].Restart(slack_part_);
  if (is_other_order) {
    totals_ = VersionTotals();
    judge_ = std::make_unique<VersionJudge>(clock_);
    stopped_at_.reset();
    changed_ = false;
  }
  status_ = std::move(status);
  status_seen_at_ = clock_.Now();
  confirmed_ = false;
  awaits_answer_ = false;
  has_left_others_ = false;
  UpdateVersions();
}

void ServiceShift::UpdateVersions() {
  target_ = order_    ? order_->target_version
            : status_ ? status_->target_version
                      : std::string();
  withheld_ = status_ ? status_->withheld : std::vector<std::string>();
  if (status_ && status_->state != ShiftState::kComplete &&
      status_->target_version != target_)
    withheld_.push_back(status_->target_version);
}

bool ServiceShift::AnswersOrder() const {
  return status_ && order_ && status_->target_version == order_->target_version;
}

bool ServiceShift::IsCompared(const LeafEntry& leaf) const {
  const bool is_complete =
      AnswersOrder() && status_->state == ShiftState::kComplete;
  return !IsTarget(leaf) || is_complete;
}

bool ServiceShift::IsRunning() const {
  return AnswersOrder() && status_->state == ShiftState::kRunning;
}

bool ServiceShift::IsFull() const {
  // If the order is withdrawn, other versions are not used before the status
  // says so: it may be complete already.
  return status_ && (!order_ || AnswersOrder()) &&
         status_->state == ShiftState::kRunning &&
         status_->stage == ShiftStage::kFull;
}

bool ServiceShift::LacksVerdict() const {
  return AnswersOrder() && status_->is_verdict() && stored_ != status_;
}

bool ServiceShift::IsStopped() const {
  return stopped_at_ &&
         (!IsFull() || clock_.Now() - *stopped_at_ < kMaxStopInFull);
}

VersionUse ServiceShift::TargetUse(bool first_attempt) const {
  if (order_ && !AnswersOrder()) return VersionUse::kNever;
  if (status_->state == ShiftState::kComplete) return VersionUse::kPreferred;
  if (IsFull())
    return IsStopped() ? VersionUse::kNever : VersionUse::kPreferred;
  // A withdrawn order is about to be rolled back.
  if (!order_) return VersionUse::kIfNoOtherListed;
  if (status_->state == ShiftState::kRolledBack || IsStopped())
    return VersionUse::kNever;
  const auto limit = limits_.find(target_);
  if (limit == limits_.end() || !limit->second.MayCall())
    return VersionUse::kNever;
  const bool is_due =
      status_->stage == ShiftStage::kLoad || limit->second.MayCallWithReserve();
  return first_attempt && is_due ? VersionUse::kPreferred
                                 : VersionUse::kIfNoOtherCallable;
}

std::optional<VersionPermit> ServiceShift::Permit(bool first_attempt) const {
  if (!order_ && !status_) return std::nullopt;
  VersionPermit permit{.target_version = &target_,
                       .withheld = &withheld_,
                       .target = TargetUse(first_attempt)};
  const bool is_complete = status_ && !(order_ && !AnswersOrder()) &&
                           status_->state == ShiftState::kComplete;
  if (is_complete || (IsFull() && !IsStopped()))
    permit.others = VersionUse::kIfNoOtherListed;
  return permit;
}

void ServiceShift::OnSent(const LeafEntry& leaf) {
  if (!IsTarget(leaf)) {
    ++others_sent_;
    OnOldCallsChanged();
    return;
  }
  ++target_sent_;
  const auto limit = limits_.find(target_);
  if (limit != limits_.end()) limit->second.OnTargetSent();
}

void ServiceShift::OnOldCallsChanged() {
  if (IsFull()) changed_ = true;
}

AnswerClass ServiceShift::OnEnded(const LeafRecord& leaf,
                                  const EndedCall& call) {
  const bool is_target = IsTarget(leaf.entry());
  if (!is_target) OnOldCallsChanged();
  const bool answered = call.outcome == CallOutcome::kAnswered ||
                        call.outcome == CallOutcome::kFailed ||
                        call.broken_answer;
  if (answered || call.outcome == CallOutcome::kShed) {
    const auto limit = limits_.find(target_);
    if (limit != limits_.end()) limit->second.OnArrived();
    answered_at_[leaf.entry().zone] = clock_.Now();
  }
  const AnswerClass kind = Classify(leaf, call);
  if (kind != AnswerClass::kNotCounted) Count(leaf, call, kind);
  return kind;
}

AnswerClass ServiceShift::Classify(const LeafRecord& leaf,
                                   const EndedCall& call) const {
  if (call.suspect) return AnswerClass::kNotCounted;
  if (call.broken_answer || call.outcome == CallOutcome::kFailed)
    return AnswerClass::kFailed;
  if (call.outcome == CallOutcome::kAnswered)
    return IsSlow(leaf, call) ? AnswerClass::kSlow : AnswerClass::kGood;
  if (call.outcome != CallOutcome::kCancelled || !IsSlow(leaf, call))
    return AnswerClass::kNotCounted;
  // The call may be without an answer because of the link. An answer from the
  // same zone in the meantime shows that the link works.
  const auto answered = answered_at_.find(leaf.entry().zone);
  const bool link_works = answered != answered_at_.end() &&
                          answered->second > clock_.Now() - call.latency;
  return link_works ? AnswerClass::kSlow : AnswerClass::kNotCounted;
}

bool ServiceShift::IsSlow(const LeafRecord& leaf, const EndedCall& call) const {
  if (call.was_cold) return false;
  const auto threshold =
      slowness_.Threshold(call.route, leaf.entry().zone, leaf.distance());
  return threshold && call.latency > *threshold;
}

void ServiceShift::Count(const LeafRecord& leaf, const EndedCall& call,
                         AnswerClass kind) {
  if (!IsRunning()) return;
  const bool is_target = IsTarget(leaf.entry());
  totals_.Add({.route = call.route,
               .zone = leaf.entry().zone,
               .leaf = is_target ? RowOf(leaf.entry(), call.route) : "",
               .counts = {.calls = 1,
                          .failed = kind == AnswerClass::kFailed ? 1U : 0U,
                          .slow = kind == AnswerClass::kSlow ? 1U : 0U}});
  changed_ = true;
  if (is_target && kind != AnswerClass::kGood) has_new_bad_ = true;
}

std::chrono::milliseconds ServiceShift::Elapsed() const {
  return status_->elapsed + Milliseconds(clock_.Now() - status_seen_at_);
}

std::string ServiceShift::RowOf(const LeafEntry& leaf,
                                const std::string& route) const {
  const bool has_row = totals_.target().contains({route, leaf.id});
  return has_row || totals_.target().size() < kMaxLeafRows
             ? leaf.id
             : "more " + leaf.zone;
}

VersionShiftGauges ServiceShift::Gauges() const {
  return {.service = service_,
          .target_version = target_,
          .status = status_,
          .target_calls_sent = target_sent_,
          .other_calls_sent = others_sent_,
          .target = totals_.TargetSum(),
          .others = totals_.OthersSum(),
          .stopped_here = IsStopped()};
}

}  // namespace berylreach::forward
