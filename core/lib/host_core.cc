// Dispatch of events to the components of a host, readiness, and the planned
// stop.
#include "berylreach/core/host_core.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>
#include <variant>

#include "berylreach/config/head_record_codec.h"

namespace berylreach::core {
namespace {

// Time for the load balancer to notice that a host is not ready because its
// zone was taken out of service.
constexpr std::chrono::milliseconds kZoneOutGrace{1000};

// Time for the load balancer to notice that a host is not ready because of its
// planned stop.
constexpr std::chrono::milliseconds kStopGrace{1500};

// Maximum time that a planned stop waits for a moment without open orders. Such
// a moment does not come if orders arrive without a pause.
constexpr std::chrono::milliseconds kOpenOrderTimeout{2000};

// Maximum time that a newly started host waits for the states of the leaves of
// all services. A service without usable leaves must not prevent the host from
// serving the other services.
constexpr std::chrono::seconds kLeafDiscoveryTimeout{3};

// Time for the other hosts to learn that this host has left, and for
// their messages in flight to arrive and be answered.
constexpr std::chrono::milliseconds kLeaveGrace{500};

}  // namespace

HostCore::HostCore(const base::Clock& clock, CoreOptions options)
    : clock_(clock),
      outbox_(options.self.host),
      state_(clock, options.self),
      store_(options.environment, outbox_),
      membership_(clock, options.self),
      rollout_(clock, DocumentAssembler{}),
      leaf_owner_(clock, state_.quarantine(), outbox_),
      arbiter_(clock, state_, outbox_),
      orders_(clock, state_, store_, outbox_),
      caller_requests_(clock, state_, options.admission, outbox_) {}

Actions HostCore::Start() {
  membership::Actions actions;
  membership_.Start(actions);
  Execute(actions);
  return Finish();
}

Actions HostCore::Tick() {
  membership::Actions membership_actions;
  membership_.Tick(membership_actions);
  Execute(membership_actions);
  state_.Unconfirmed().SetSilent(membership_.SilentMembers());
  rollout::Actions rollout_actions;
  rollout_.Tick(rollout_actions);
  Execute(rollout_actions);
  UpdateLease();
  state_.quarantine().Tick();
  UpdateLeavesKnown();
  EndWorkOfRemovedHosts();
  arbiter_.Tick();
  leaf_owner_.Tick();
  orders_.Tick();
  caller_requests_.Tick();
  return Finish();
}

Actions HostCore::OnCallerRequest(const model::CallerRequest& request) {
  UpdateLease();
  caller_requests_.OnRequest(request, ServesCallers());
  return Finish();
}

Actions HostCore::OnCallerDisconnected(const model::CallId& id) {
  caller_requests_.OnCallerDisconnected(id);
  return Finish();
}

Actions HostCore::OnPeerDisconnected(const model::HostName& host) {
  state_.Unconfirmed().OnDisconnected(host);
  caller_requests_.OnPeerDisconnected(host);
  return Finish();
}

Actions HostCore::OnEnvelope(const model::Envelope& envelope) {
  state_.Unconfirmed().Clear(envelope.from);
  Deliver(envelope.from, envelope.incarnation, envelope.message);
  return Finish();
}

Actions HostCore::OnUpstreamResult(const model::UpstreamResult& result) {
  leaf_owner_.OnUpstreamResult(result);
  return Finish();
}

Actions HostCore::OnLeafStatus(const model::LeafStatus& status) {
  leaf_owner_.OnLeafStatus(status);
  return Finish();
}

Actions HostCore::OnStoreResult(const model::StoreResult& result) {
  const auto call = store_.Finish(result.id);
  if (!call) return {};
  membership::Actions membership_actions;
  rollout::Actions rollout_actions;
  switch (call->kind) {
    case StoreCallKind::kHeadRead:
      OnHeadRead(call->id, result, membership_actions);
      break;
    case StoreCallKind::kHeadCas:
      membership_.OnHeadCas(call->id, result.outcome, result.revision,
                            membership_actions);
      break;
    case StoreCallKind::kPartRead:
      rollout_.OnPartRead(call->hash, result.outcome, result.value,
                          rollout_actions);
      break;
    case StoreCallKind::kJournalRead:
      orders_.OnJournalRead(call->id, result);
      break;
    case StoreCallKind::kJournalCas:
      orders_.OnJournalCas(call->id, result);
      break;
  }
  Execute(membership_actions);
  Execute(rollout_actions);
  return Finish();
}

void HostCore::OnHeadRead(std::uint64_t id, const model::StoreResult& result,
                          membership::Actions& out) {
  model::StoreOutcome outcome = result.outcome;
  std::optional<model::HeadRecord> record;
  if (outcome == model::StoreOutcome::kOk) {
    auto decoded = config::DecodeHeadRecord(result.value);
    if (!decoded.value) {
      outbox_.Record("head_unreadable", "", decoded.findings.front().message);
      // A head record that cannot be decoded must not be treated as absent,
      // since it would then be overwritten.
      outcome = model::StoreOutcome::kUnknown;
    }
    record = std::move(decoded.value);
  }
  membership_.OnHeadRead(id, outcome, record, result.revision, out);
}

Actions HostCore::OnHostList(const std::optional<model::HostList>& list) {
  if (list) AdoptHostList(*list, /*publish=*/true);
  return Finish();
}

Actions HostCore::Stop() {
  if (!stopping_since_) {
    outbox_.Record("stop_started", outbox_.self().value, "");
    stopping_since_ = clock_.Now();
  }
  return Finish();
}

bool HostCore::stopped() const {
  return left_at_ && clock_.Now() >= *left_at_ + kLeaveGrace &&
         !leaf_owner_.HasWork() && orders_.open_work() == 0;
}

base::TimePoint HostCore::NextWakeup() const {
  base::TimePoint next =
      std::min(membership_.NextWakeup(), rollout_.NextWakeup());
  const auto consider = [&](const std::optional<base::TimePoint>& time) {
    if (time) next = std::min(next, *time);
  };
  consider(leaf_owner_.NextWakeup());
  consider(orders_.NextWakeup());
  consider(caller_requests_.NextWakeup());
  consider(arbiter_.NextWakeup());
  consider(state_.NextQuarantineWakeup());
  if (stopping_since_ && clock_.Now() < *stopping_since_ + kStopGrace) {
    consider(*stopping_since_ + kStopGrace);
  }
  if (!removed_hosts_.empty()) consider(removed_hosts_.front().first);
  if (membership_.HoldsLease()) consider(membership_.LeaseExpiry());
  return next;
}

bool HostCore::ready() const {
  return !stopping_since_ && !zone_out_since_ && HoldsLease() &&
         leaves_known_ && membership_.HearsFromAtLeastHalf() &&
         rollout_.current().version > 0;
}

void HostCore::UpdateLeavesKnown() {
  if (leaves_known_ || rollout_.current().version == 0) return;
  if (!first_document_at_) first_document_at_ = clock_.Now();
  const auto& services = state_.Environment().services;
  const bool all_known = std::all_of(
      services.begin(), services.end(), [&](const model::Service& service) {
        return !state_.Replicas(service.name).snapshots().empty();
      });
  leaves_known_ =
      all_known || clock_.Now() >= *first_document_at_ + kLeafDiscoveryTimeout;
}

bool HostCore::ServesCallers() const {
  if (rollout_.current().version == 0) return false;
  if (stopping_since_ && clock_.Now() >= *stopping_since_ + kStopGrace)
    return false;
  return !zone_out_since_ || clock_.Now() < *zone_out_since_ + kZoneOutGrace;
}

Actions HostCore::Finish() {
  leaf_owner_.RefuseSuspects();
  while (auto message = outbox_.NextLocal()) {
    Deliver(outbox_.self(), state_.self().incarnation, *message);
  }
  UpdateLease();
  if (std::exchange(takeovers_changed_, false)) UpdateTakeovers();
  leaf_owner_.PublishChanges();
  UpdateVersions();
  AdvanceStop();
  // The steps above may have sent further messages to this host itself.
  while (auto message = outbox_.NextLocal()) {
    Deliver(outbox_.self(), state_.self().incarnation, *message);
  }
  return outbox_.Take();
}

void HostCore::AdvanceStop() {
  if (leaving_ && !left_at_ && membership_.has_left()) left_at_ = clock_.Now();
  if (!stopping_since_ || leaving_) return;
  const base::Duration since = clock_.Now() - *stopping_since_;
  if (since < kStopGrace || caller_requests_.open_requests() > 0) return;
  // Other hosts may send orders to this host until it has left, so that the
  // wait for open orders is limited.
  if (orders_.open_work() > 0 && since < kStopGrace + kOpenOrderTimeout) return;
  leaving_ = true;
  membership::Actions actions;
  membership_.Leave(actions);
  Execute(actions);
}

void HostCore::UpdateLease() {
  const base::TimePoint expiry = membership_.LeaseExpiry();
  state_.SetLeaseExpiry(expiry);
  leaf_owner_.SetLeaseExpiry(expiry);
  orders_.SetLeaseExpiry(expiry);
}

void HostCore::UpdateVersions() {
  membership::Versions versions;
  versions.document = rollout_.current();
  versions.host_list_index = host_list_.index;
  versions.quarantine_digest = state_.quarantine().Digest();
  versions.leaf_states_digest = leaf_owner_.StatesDigest();
  membership::Actions actions;
  if (versions != reported_versions_) {
    reported_versions_ = versions;
    membership_.SetVersions(versions, actions);
  }
  auto held_leaves = HeldLeavesAndBuckets();
  if (held_leaves != reported_held_) {
    reported_held_ = held_leaves;
    membership_.SetHeldLeaves(membership_.epoch(), held_leaves, actions);
  }
  Execute(actions);
}

}  // namespace berylreach::core
