// Handles the events of one service's arbiter.
#include "berylreach/forward/service_arbiter.h"

#include <algorithm>
#include <utility>

#include "berylreach/forward/leaf_directory.h"

namespace berylreach::forward {
namespace {

/// Time after a failed call of the store until the next one.
constexpr std::chrono::milliseconds kRetryDelay{500};

/// For this long after a failed call of the store, this host judges no reports.
constexpr std::chrono::seconds kNotJudgingAfterFailure{5};

VersionShiftStatus StatusOf(const VersionShiftReport& report) {
  return {.service = report.service,
          .state = report.state,
          .stage = report.stage,
          .target_version = report.target_version,
          .order = report.order,
          .step = report.step,
          .elapsed = report.elapsed,
          .writer = report.host,
          .cause = "verdict reported by " + report.host};
}

}  // namespace

ServiceArbiter::ServiceArbiter(const base::Clock& clock, std::string self,
                               std::string service)
    : clock_(clock), self_(std::move(self)), service_(std::move(service)) {}

void ServiceArbiter::SetHosts(const std::vector<std::string>& hosts) {
  hosts_ = RankArbiters(service_, hosts);
  rank_ = static_cast<std::size_t>(
      std::find(hosts_.begin(), hosts_.end(), self_) - hosts_.begin());
}

void ServiceArbiter::SetFacts(ShiftedService facts) {
  facts_ = std::move(facts);
  UpdateGone();
}

void ServiceArbiter::UpdateGone() {
  const std::optional<VersionShiftOrder>& order = Order();
  if (!facts_ || !order) return;
  bool has_target = false;
  bool has_others = false;
  for (const auto& [version, leaves] : facts_->leaves) {
    if (leaves.listed == 0) continue;
    (version == order->target_version ? has_target : has_others) = true;
  }
  if (has_target && target_gone_since_) target_back_at_ = clock_.Now();
  const auto update = [this](std::optional<base::TimePoint>& since, bool has) {
    if (has) since.reset();
    if (!has && !since) since = clock_.Now();
  };
  update(target_gone_since_, has_target);
  update(others_gone_since_, has_others);
  target_was_listed_ = target_was_listed_ || has_target;
}

void ServiceArbiter::OnOrder(std::optional<VersionShiftOrder> order,
                             bool malformed, RecordSource source,
                             Actions& actions) {
  const bool is_same = order == order_ && malformed == malformed_;
  if (is_same && source == RecordSource::kListing) {
    // The order may have been written again with the same content.
    Forget();
    if (order_ && !check_since_) check_since_ = clock_.Now();
    return;
  }
  const bool is_other_target =
      !order || !order_ || order->target_version != order_->target_version;
  if (malformed && !(is_same && malformed_))
    actions.push_back(LogShift{service_, "malformed order"});
  order_ = std::move(order);
  malformed_ = malformed;
  order_seen_at_ = clock_.Now();
  maybe_repeated_ =
      order_.has_value() && (source == RecordSource::kChange || !is_same);
  Forget();
  if (!is_other_target) return;
  target_gone_since_.reset();
  others_gone_since_.reset();
  target_was_listed_ = false;
  UpdateGone();
}

void ServiceArbiter::OnStatus(std::optional<VersionShiftStatus> status) {
  if (status == known_) return;
  if (status && (!known_ || IsNewer(*status, *known_))) {
    SetKnown(std::move(status));
    Forget();
    return;
  }
  // An older status, or none, may be an older read.
  Forget();
  if (!check_since_) check_since_ = clock_.Now();
}

void ServiceArbiter::OnStoreRestored() {
  grace_until_ = clock_.Now() + LeafDirectory::kStoreRestoreGrace;
  Forget();
  if (!check_since_) check_since_ = clock_.Now();
}

void ServiceArbiter::Forget() {
  records_.reset();
  is_lacking_ = false;
}

void ServiceArbiter::SetKnown(std::optional<VersionShiftStatus> status) {
  const bool is_new_stage =
      !known_ || !status || known_->order != status->order ||
      known_->state != status->state || known_->stage != status->stage;
  if (is_new_stage) stage_since_ = clock_.Now();
  known_ = std::move(status);
  known_at_ = clock_.Now();
  if (!known_) return;
  if (known_->state == ShiftState::kComplete) completed_order_ = known_->order;
  if (order_ && known_->target_version == order_->target_version &&
      (!evidence_ || evidence_->order() != known_->order))
    maybe_repeated_ = false;
  if (!evidence_ || evidence_->order() != known_->order)
    evidence_ = std::make_unique<ShiftEvidence>(clock_, known_->order);
}

void ServiceArbiter::OnRecords(ShiftRecords records, Actions& actions) {
  if (pending_ != Pending::kRead) return;
  pending_ = Pending::kNone;
  failed_at_.reset();
  // The store may show a later era before this host hears of it.
  if (era_ > 0 && records.era > era_) OnStoreRestored();
  era_ = std::max(era_, records.era);
  check_since_.reset();
  is_lacking_ = false;
  records_ = std::move(records);
  CompareWithStored();
  maybe_repeated_ = maybe_repeated_ && !records_;
  UpdateGone();
  Tick(actions);
}

void ServiceArbiter::CompareWithStored() {
  const std::optional<VersionShiftStatus> stored = records_->status;
  if (known_ == stored) return;
  const bool is_newer = stored && (!known_ || IsNewer(*stored, *known_));
  const bool is_return =
      stored && ReadSameOrder() && IsReturnToComplete(*stored);
  const bool keeps_known =
      known_ && ReadSameOrder() && (known_->is_verdict() || IsInGrace());
  if (!is_newer && !is_return && keeps_known) {
    is_lacking_ = true;
  } else if (is_newer || is_return || !IsInGrace()) {
    SetKnown(stored);
  } else {
    // The store's content is not in force yet.
    Forget();
    check_since_ = clock_.Now();
    retry_at_ = clock_.Now() + kRetryDelay;
  }
}

void ServiceArbiter::OnReadFailed() {
  if (pending_ == Pending::kRead) OnCallFailed();
}

void ServiceArbiter::OnWritten(std::uint64_t status_revision,
                               Actions& actions) {
  if (pending_ != Pending::kWrite) return;
  pending_ = Pending::kNone;
  failed_at_.reset();
  is_lacking_ = false;
  due_.reset();
  if (records_) {
    records_->status = written_;
    records_->status_revision = status_revision;
  }
  if (!known_ || IsNewer(written_, *known_) || IsReturnToComplete(written_))
    SetKnown(written_);
  std::string text = ShiftStateName(written_.state);
  if (written_.state == ShiftState::kRunning)
    text += std::string(" ") + ShiftStageName(written_.stage);
  actions.push_back(LogShift{
      service_, text + " " + written_.target_version + ": " + written_.cause});
}

void ServiceArbiter::OnWriteConflict() {
  if (pending_ != Pending::kWrite) return;
  pending_ = Pending::kNone;
  failed_at_.reset();
  Forget();
}

void ServiceArbiter::OnWriteLost() {
  if (pending_ == Pending::kWrite) OnCallFailed();
}

void ServiceArbiter::OnCallFailed() {
  pending_ = Pending::kNone;
  failed_at_ = clock_.Now();
  retry_at_ = clock_.Now() + kRetryDelay;
  Forget();
}

VersionReportAnswer ServiceArbiter::OnReport(const VersionShiftReport& report) {
  const bool has_later_order = known_ && report.order > known_->order;
  // A host that knows the shift as complete writes that itself.
  const bool lacks_verdict =
      report.state == ShiftState::kRolledBack &&
      (!known_ || (known_->order == report.order && !known_->is_verdict()));
  if (lacks_verdict) SetKnown(StatusOf(report));
  if (lacks_verdict || has_later_order || !known_) {
    Forget();
    if (!check_since_) check_since_ = clock_.Now();
  }
  const bool is_known_order = known_ && known_->order == report.order;
  if (is_known_order) evidence_->Add(report);
  const bool reaches_store =
      !failed_at_ || clock_.Now() - *failed_at_ >= kNotJudgingAfterFailure;
  const bool is_registered = rank_ < hosts_.size();
  return {.service = service_,
          .accepted = is_known_order && reaches_store && is_registered,
          .order = known_ ? known_->order : ShiftOrderId(),
          .step = known_ ? known_->step : 0};
}

bool ServiceArbiter::IsActive() const {
  return order_ || malformed_ ||
         (known_ && known_->state == ShiftState::kRunning);
}

VersionCounts ServiceArbiter::TargetCounts() const {
  return evidence_ ? evidence_->totals().TargetSum() : VersionCounts();
}

}  // namespace berylreach::forward
