// Arbitration of suspect calls.
#include "berylreach/core/suspect_arbiter.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "berylreach/quarantine/fingerprint.h"

namespace berylreach::core {
namespace {

using model::LeafOutcome;
using quarantine::Grant;

// Retry delay for a call that is refused because another run of the same
// fingerprint is in progress, which lasts about one leaf call.
constexpr std::chrono::milliseconds kBusyRetryAfter{100};

}  // namespace

SuspectArbiter::SuspectArbiter(const base::Clock& clock, SharedState& state,
                               Outbox& outbox)
    : clock_(clock), state_(state), outbox_(outbox) {}

bool SuspectArbiter::Arbitrates(const model::HostName& from,
                                const model::LeafCall& call) const {
  if (!call.exclusive) return false;
  const model::Member* arbiter =
      quarantine::ArbiterOf(call.fingerprint, state_.Members());
  if (arbiter == nullptr || arbiter->host != outbox_.self()) return false;
  // If this host also owns the leaf, the arbiter forwards the call to this host
  // itself, where it must not be arbitrated again.
  return from != outbox_.self() || !runs_.contains(call.id);
}

void SuspectArbiter::OnCall(const model::HostName& from,
                            const model::LeafCall& call) {
  if (!Defer(from, call)) Run(from, call, clock_.Now() + call.budget);
}

bool SuspectArbiter::Defer(const model::HostName& from,
                           const model::LeafCall& call) {
  if (!call.canary) return false;
  auto& suspects = state_.quarantine();
  suspects.OnSuspectReportedByOwner(call.fingerprint);
  const base::Duration wait = suspects.CanaryHoldOff(call.fingerprint);
  if (wait == base::Duration::zero()) return false;
  const auto [found, added] = deferred_.try_emplace(
      call.fingerprint, DeferredCall{from, call, clock_.Now() + wait,
                                     clock_.Now() + call.budget});
  if (!added) Refuse(from, call, LeafOutcome::kOverloaded);
  return true;
}

void SuspectArbiter::Run(const model::HostName& from,
                         const model::LeafCall& call,
                         base::TimePoint deadline) {
  const model::HostName* owner = state_.Ownership().Owner(call.leaf);
  if (owner == nullptr || !state_.HoldsLease()) {
    return Refuse(from, call, LeafOutcome::kNotOwner);
  }
  if (deadline <= clock_.Now())
    return Refuse(from, call, LeafOutcome::kNotSent);
  const auto until = std::min(deadline, state_.LeaseExpiry());
  switch (state_.quarantine().TryStartExclusive(call.fingerprint, until)) {
    case Grant::kBlocked:
      return Refuse(from, call, LeafOutcome::kBlocked);
    case Grant::kBusy:
      return Refuse(from, call, LeafOutcome::kOverloaded);
    case Grant::kGranted:
      break;
  }
  model::LeafCall forwarded = call;
  forwarded.budget = std::chrono::duration_cast<std::chrono::microseconds>(
      until - clock_.Now());
  runs_.emplace(call.id, ForwardedCall{from, *owner, forwarded, until});
  outbox_.Send(*owner, std::move(forwarded));
}

bool SuspectArbiter::OnReply(const model::LeafReply& reply) {
  auto node = runs_.extract(reply.id);
  if (node.empty()) return false;
  ReportOutcome(node.mapped(), reply.outcome);
  outbox_.Send(node.mapped().from, reply);
  return true;
}

void SuspectArbiter::OnCancel(const model::LeafCancel& cancel) {
  const auto found = runs_.find(cancel.id);
  if (found != runs_.end()) outbox_.Send(found->second.owner, cancel);
  for (auto item = deferred_.begin(); item != deferred_.end(); ++item) {
    if (item->second.call.id != cancel.id) continue;
    Refuse(item->second.from, item->second.call, LeafOutcome::kNotSent);
    deferred_.erase(item);
    return;
  }
}

void SuspectArbiter::Tick() {
  std::erase_if(runs_, [&](const auto& item) {
    return item.second.until <= clock_.Now();
  });
  std::vector<DeferredCall> due;
  std::erase_if(deferred_, [&](const auto& item) {
    const bool blocked = state_.quarantine().TrustLevelOf(item.first) ==
                         quarantine::TrustLevel::kBlocked;
    if (item.second.start_at > clock_.Now() && !blocked) return false;
    due.push_back(item.second);
    return true;
  });
  for (const DeferredCall& deferred : due)
    Run(deferred.from, deferred.call, deferred.deadline);
}

std::optional<base::TimePoint> SuspectArbiter::NextWakeup() const {
  std::optional<base::TimePoint> next;
  for (const auto& [fingerprint, deferred] : deferred_) {
    if (!next || deferred.start_at < *next) next = deferred.start_at;
  }
  return next;
}

void SuspectArbiter::ReportOutcome(const ForwardedCall& run,
                                   LeafOutcome outcome) {
  auto& suspects = state_.quarantine();
  std::vector<quarantine::Action> actions;
  if (outcome == LeafOutcome::kOk) {
    suspects.OnCompletedExclusive(run.call.fingerprint, actions);
  } else if (outcome == LeafOutcome::kLeafCrashed) {
    suspects.OnLeafCrash({{run.call.fingerprint, true}}, actions);
  }
  const bool outcome_known = outcome == LeafOutcome::kOk ||
                             outcome == LeafOutcome::kLeafCrashed ||
                             model::ProvesNotRun(outcome);
  suspects.OnExclusiveEnded(run.call.fingerprint, outcome_known);
  for (const auto& action : actions) {
    outbox_.SendToAll(state_.Members(),
                      std::get<quarantine::PublishSuspects>(action).update);
  }
}

void SuspectArbiter::Refuse(const model::HostName& to,
                            const model::LeafCall& call, LeafOutcome outcome) {
  model::LeafReply reply;
  reply.id = call.id;
  reply.leaf = call.leaf;
  reply.outcome = outcome;
  reply.retry_after = kBusyRetryAfter;
  outbox_.Send(to, std::move(reply));
}

}  // namespace berylreach::core
