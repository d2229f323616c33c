// Calls to owned leaves, and processing of their results and statuses.
#include "berylreach/core/leaf_owner.h"

#include <algorithm>
#include <string>
#include <utility>

#include "berylreach/base/hash.h"
#include "berylreach/model/call_id.h"
#include "berylreach/quarantine/fingerprint.h"

namespace berylreach::core {

using model::LeafOutcome;

namespace {

// Time for which ids of order calls are kept to detect duplicates. It is longer
// than the maximum deadline of a caller (60 s), after which a duplicate has no
// effect.
constexpr std::chrono::seconds kOrderIdRetention{120};

}  // namespace

LeafOwner::LeafOwner(const base::Clock& clock,
                     quarantine::Quarantine& quarantine, Outbox& outbox)
    : clock_(clock),
      quarantine_(quarantine),
      outbox_(outbox),
      silence_thresholds_(clock, outbox) {}

void LeafOwner::OnCall(const model::HostName& from,
                       const model::LeafCall& call) {
  OwnedLeaf* owned_leaf = FindOwned(call.leaf);
  if (owned_leaf == nullptr) return Refuse(from, call, LeafOutcome::kNotOwner);
  const auto trust_level = quarantine_.TrustLevelOf(call.fingerprint);
  if (trust_level == quarantine::TrustLevel::kBlocked)
    return Refuse(from, call, LeafOutcome::kBlocked);
  if (call.exclusive && !IsArbiter(from, call.fingerprint))
    return Refuse(from, call, LeafOutcome::kNotOwner);
  // A call whose fingerprint became suspect while it was in flight must not run
  // concurrently with other calls.
  const bool suspect = trust_level == quarantine::TrustLevel::kSuspect;
  if (suspect && !call.exclusive) {
    return Refuse(from, call,
                  call.canary ? LeafOutcome::kSuspect : LeafOutcome::kBlocked);
  }
  if (calls_.contains(call.id) || IsDuplicateOrder(call)) return;
  model::LeafCall accepted = call;
  // An exclusive call, or one whose fingerprint is proven, needs no further
  // protection as a canary.
  if (call.exclusive || trust_level == quarantine::TrustLevel::kProven)
    accepted.canary = false;
  const auto accepted_call =
      calls_.emplace(call.id, AcceptedCall{from, std::move(accepted), {}})
          .first;
  limits::Actions actions;
  owned_leaf->gate.OnCall(accepted_call->second.call, actions);
  Execute(*owned_leaf, actions);
}

void LeafOwner::RefuseSuspects() {
  if (quarantine_revision_ == quarantine_.revision()) return;
  quarantine_revision_ = quarantine_.revision();
  const auto outcome_of =
      [this](std::uint64_t fingerprint) -> std::optional<LeafOutcome> {
    switch (quarantine_.TrustLevelOf(fingerprint)) {
      case quarantine::TrustLevel::kSuspect:
        return LeafOutcome::kSuspect;
      case quarantine::TrustLevel::kBlocked:
        return LeafOutcome::kBlocked;
      default:
        return std::nullopt;
    }
  };
  for (auto& [name, owned_leaf] : leaves_) {
    if (owned_leaf.gate.queued() == 0) continue;
    limits::Actions actions;
    owned_leaf.gate.RefuseCanaries(outcome_of, actions);
    Execute(owned_leaf, actions);
  }
}

void LeafOwner::OnCancel(const model::LeafCancel& cancel) {
  const auto found = calls_.find(cancel.id);
  if (found == calls_.end()) return;
  const auto owned_leaf = leaves_.find(found->second.call.leaf);
  if (owned_leaf == leaves_.end()) return;
  limits::Actions actions;
  if (cancel.only_if_queued) {
    owned_leaf->second.gate.CancelIfQueued(cancel.id, actions);
  } else {
    owned_leaf->second.gate.OnCancel(cancel.id, actions);
  }
  Execute(owned_leaf->second, actions);
}

void LeafOwner::OnUpstreamResult(const model::UpstreamResult& result) {
  const auto found = leaves_.find(result.leaf);
  if (found == leaves_.end()) return;
  OwnedLeaf& owned_leaf = found->second;
  RecordLatency(result);
  if (result.outcome == LeafOutcome::kLeafCrashed) ReportCrash(result.leaf);
  if (result.outcome == LeafOutcome::kOk) MarkProven(result.id);
  if (result.connect_failed) {
    owned_leaf.reachable = false;
    owned_leaf.state_known = true;
  }
  UpdateIncarnation(owned_leaf, result.incarnation);
  const bool reports_holdings = result.outcome == LeafOutcome::kOk ||
                                result.outcome == LeafOutcome::kVersionGone;
  if (reports_holdings && !result.holdings.empty()) {
    if (owned_leaf.holdings != result.holdings)
      owned_leaf.holdings = result.holdings;
    owned_leaf.state_known = true;
    owned_leaf.reachable = true;
  }
  limits::Actions actions;
  owned_leaf.gate.OnResult(result, actions);
  Execute(owned_leaf, actions);
  // Most answers confirm the published state. A scan of all leaves after each
  // of them would cost more than processing the answer itself.
  if (!IsPublished(owned_leaf)) states_dirty_ = true;
  if (!owned_leaf.owned) DropFinished();
}

void LeafOwner::OnLeafStatus(const model::LeafStatus& status) {
  states_dirty_ = true;
  OwnedLeaf* owned_leaf = FindOwned(status.leaf);
  if (owned_leaf == nullptr) return;
  owned_leaf->state_known = true;
  if (owned_leaf->reachable && !status.reachable && status.connection_refused) {
    limits::Actions actions;
    owned_leaf->gate.OnColdEvidence(actions);
    Execute(*owned_leaf, actions);
  }
  owned_leaf->reachable = status.reachable;
  if (!status.reachable) return;
  owned_leaf->holdings = status.holdings;
  owned_leaf->status_draining = status.draining;
  ApplyDraining(*owned_leaf);
  UpdateIncarnation(*owned_leaf, status.incarnation);
}

void LeafOwner::SetLeaving(const std::set<model::LeafName>& leaving) {
  states_dirty_ = true;
  leaving_ = leaving;
  for (auto& [name, owned_leaf] : leaves_) {
    owned_leaf.listed_leaving = leaving_.contains(name);
    ApplyDraining(owned_leaf);
  }
}

void LeafOwner::SetOpen(const model::LeafName& leaf, bool open) {
  states_dirty_ = true;
  OwnedLeaf* owned_leaf = FindOwned(leaf);
  if (owned_leaf == nullptr) return;
  owned_leaf->open = open;
  limits::Actions actions;
  owned_leaf->gate.SetOpen(open, actions);
  Execute(*owned_leaf, actions);
}

void LeafOwner::SetLeaseExpiry(base::TimePoint expiry) {
  if (expiry == lease_expiry_) return;
  lease_expiry_ = expiry;
  for (auto& [name, owned_leaf] : leaves_) {
    limits::Actions actions;
    owned_leaf.gate.SetLeaseExpiry(expiry, actions);
    Execute(owned_leaf, actions);
  }
}

void LeafOwner::Tick() {
  states_dirty_ = true;
  for (auto& [name, owned_leaf] : leaves_) {
    limits::Actions actions;
    owned_leaf.gate.Tick(actions);
    Execute(owned_leaf, actions);
  }
  silence_thresholds_.Tick();
  EraseExpiredOrderIds();
  DropFinished();
}

std::optional<base::TimePoint> LeafOwner::NextWakeup() const {
  std::optional<base::TimePoint> earliest;
  for (const auto& [name, owned_leaf] : leaves_) {
    const auto wakeup = owned_leaf.gate.NextWakeup();
    if (wakeup && (!earliest || *wakeup < *earliest)) earliest = wakeup;
  }
  return earliest;
}

bool LeafOwner::IsArbiter(const model::HostName& host,
                          std::uint64_t fingerprint) const {
  const model::Member* arbiter = quarantine::ArbiterOf(fingerprint, members_);
  return arbiter != nullptr && arbiter->host == host;
}

bool LeafOwner::IsDuplicateOrder(const model::LeafCall& call) {
  if (call.kind != model::RequestKind::kOrder) return false;
  if (!recent_order_ids_.insert(call.id).second) return true;
  recent_orders_.emplace_back(clock_.Now(), call.id);
  return false;
}

void LeafOwner::EraseExpiredOrderIds() {
  while (!recent_orders_.empty() &&
         recent_orders_.front().first + kOrderIdRetention < clock_.Now()) {
    recent_order_ids_.erase(recent_orders_.front().second);
    recent_orders_.pop_front();
  }
}

OwnedLeaf* LeafOwner::FindOwned(const model::LeafName& leaf) {
  const auto found = leaves_.find(leaf);
  if (found == leaves_.end() || !found->second.owned) return nullptr;
  return &found->second;
}

void LeafOwner::ApplyDraining(OwnedLeaf& owned_leaf) {
  limits::Actions actions;
  owned_leaf.gate.SetDraining(
      owned_leaf.status_draining || owned_leaf.listed_leaving, actions);
  Execute(owned_leaf, actions);
}

void LeafOwner::UpdateIncarnation(OwnedLeaf& owned_leaf,
                                  std::uint64_t incarnation) {
  if (incarnation == 0 || incarnation == owned_leaf.incarnation) return;
  const bool restarted = owned_leaf.incarnation != 0;
  owned_leaf.incarnation = incarnation;
  if (!restarted) return;
  outbox_.Record("leaf_restarted", owned_leaf.leaf.name.value, "");
  limits::Actions actions;
  owned_leaf.gate.OnColdEvidence(actions);
  Execute(owned_leaf, actions);
}

void LeafOwner::MarkProven(const model::CallId& id) {
  const auto found = calls_.find(id);
  if (found != calls_.end() && found->second.call.canary)
    quarantine_.OnCompleted(found->second.call.fingerprint);
}

void LeafOwner::ReportCrash(const model::LeafName& leaf) {
  std::vector<quarantine::RunningCall> running;
  const OwnedLeaf& owned_leaf = leaves_.at(leaf);
  const auto fingerprints = owned_leaf.gate.RunningFingerprints();
  for (const auto& [id, accepted] : calls_) {
    if (accepted.call.leaf != leaf) continue;
    // Calls that are still queued have not reached the leaf and cannot have
    // caused the crash.
    const auto& fingerprint = accepted.call.fingerprint;
    if (std::find(fingerprints.begin(), fingerprints.end(), fingerprint) ==
        fingerprints.end()) {
      continue;
    }
    const bool canary =
        accepted.call.canary && quarantine_.TrustLevelOf(fingerprint) !=
                                    quarantine::TrustLevel::kProven;
    running.push_back({fingerprint, accepted.call.exclusive,
                       canary ? quarantine::LeafIdOf(leaf) : 0});
  }
  std::vector<quarantine::Action> actions;
  quarantine_.OnLeafCrash(running, actions);
  for (const auto& action : actions) {
    outbox_.SendToAll(members_,
                      std::get<quarantine::PublishSuspects>(action).update);
  }
  outbox_.Record("leaf_died", leaf.value,
                 std::to_string(running.size()) + " calls running");
  // Must happen before the gate processes the result and so frees a slot, since
  // it would then start queued canaries of the same fingerprint.
  RefuseSuspects();
}

void LeafOwner::Execute(const OwnedLeaf& owned_leaf,
                        const limits::Actions& actions) {
  for (const limits::Action& action : actions) {
    if (const auto* start = std::get_if<limits::StartCall>(&action)) {
      Start(owned_leaf, *start);
    } else if (const auto* cancel =
                   std::get_if<limits::CancelRunning>(&action)) {
      outbox_.Emit(CancelUpstream{cancel->id});
    } else if (const auto* reply = std::get_if<limits::Reply>(&action)) {
      SendReply(reply->reply);
    }
  }
}

void LeafOwner::Start(const OwnedLeaf& owned_leaf,
                      const limits::StartCall& start) {
  if (const auto accepted = calls_.find(start.call.id);
      accepted != calls_.end()) {
    accepted->second.started_at = clock_.Now();
  }
  model::UpstreamCall call;
  call.id = start.call.id;
  call.leaf = owned_leaf.leaf.name;
  call.address = owned_leaf.leaf.address;
  call.max_connections = owned_leaf.leaf.max_connections;
  call.service = start.call.service;
  call.kind = start.call.kind;
  call.shard = start.call.shard;
  call.version = start.call.version;
  call.payload = start.call.payload;
  call.key = start.call.key;
  call.not_after = start.not_after;
  call.deadline =
      clock_.WallNow() + std::chrono::duration_cast<std::chrono::microseconds>(
                             start.not_after - clock_.Now());
  outbox_.Emit(CallUpstream{std::move(call)});
}

void LeafOwner::RecordLatency(const model::UpstreamResult& result) {
  const auto found = calls_.find(result.id);
  // A call that ran past its deadline was already answered and removed.
  if (found == calls_.end() || !found->second.started_at) return;
  silence_thresholds_.OnResult(found->second.call.service,
                               *found->second.started_at, result);
}

void LeafOwner::SendReply(const model::LeafReply& reply) {
  const auto node = calls_.extract(reply.id);
  if (node.empty()) return;
  outbox_.Send(node.mapped().from, reply);
}

void LeafOwner::Refuse(const model::HostName& from, const model::LeafCall& call,
                       LeafOutcome outcome) {
  model::LeafReply reply;
  reply.id = call.id;
  reply.leaf = call.leaf;
  reply.outcome = outcome;
  outbox_.Send(from, std::move(reply));
}

}  // namespace berylreach::core
