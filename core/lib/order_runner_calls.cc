// Leaf calls of orders, and the retries of these calls.
#include <algorithm>
#include <chrono>
#include <functional>
#include <utility>

#include "berylreach/core/order_runner.h"
#include "berylreach/quarantine/fingerprint.h"
#include "berylreach/routing/choose_by_fingerprint.h"
#include "berylreach/routing/choose_replica.h"
#include "berylreach/routing/choose_snapshot.h"

namespace berylreach::core {
namespace {

using model::LeafOutcome;

// Maximum number of leaves to which an order is sent. It is sent to another
// leaf only after a proof that the previous leaf did not run it.
constexpr std::size_t kMaxLeavesPerOrder = 3;
constexpr std::chrono::milliseconds kNoLeafRetryAfter{1000};
// All orders run on shard 0.
constexpr std::uint32_t kOrderShard = 0;

std::uint64_t OrderFingerprint(const orders::SendOrder& order) {
  model::CallerRequest request;
  request.kind = model::RequestKind::kOrder;
  request.service = order.service;
  request.payload = order.payload;
  return quarantine::FingerprintOf(request);
}

}  // namespace

bool OrderRunner::OnLeafReply(const model::LeafReply& reply) {
  auto node = sent_.extract(reply.id);
  if (node.empty()) return false;
  SentOrder& order = node.mapped();
  state_.Leaves().OnCallEnded(reply.leaf);
  const std::uint64_t fingerprint = OrderFingerprint(order.order);
  if (reply.outcome == LeafOutcome::kOk) {
    state_.quarantine().OnCompleted(fingerprint);
  } else if (reply.outcome == LeafOutcome::kSuspect) {
    state_.quarantine().OnSuspectReportedByOwner(fingerprint);
  }
  const bool may_retry = model::ProvesNotRun(reply.outcome) &&
                         reply.outcome != LeafOutcome::kBlocked &&
                         order.tried.size() < kMaxLeavesPerOrder &&
                         clock_.Now() < order.deadline;
  if (may_retry) {
    SendToLeaf(std::move(order));
  } else {
    Report(order.order, reply);
  }
  return true;
}

void OrderRunner::FinishSent(
    LeafOutcome outcome,
    const std::function<bool(const SentOrder&)>& selected) {
  std::vector<model::LeafReply> replies;
  for (const auto& [id, order] : sent_) {
    if (!selected(order)) continue;
    model::LeafReply reply;
    reply.id = id;
    reply.leaf = order.tried.back();
    reply.outcome = outcome;
    replies.push_back(std::move(reply));
  }
  for (const model::LeafReply& reply : replies) OnLeafReply(reply);
}

std::optional<routing::Replica> OrderRunner::ChooseLeaf(
    const SentOrder& order, std::uint64_t fingerprint,
    const routing::Snapshot& snapshot) {
  const auto trust_level = state_.quarantine().TrustLevelOf(fingerprint);
  const auto& index = state_.Replicas(order.order.service);
  if (trust_level == quarantine::TrustLevel::kUnproven) {
    routing::FingerprintQuery query;
    query.version = snapshot.version;
    query.shard_count = snapshot.shard_count;
    query.fingerprint = fingerprint;
    query.shards = {&kOrderShard, 1};
    query.is_excluded = [&](std::uint32_t, const model::LeafName& leaf) {
      return std::count(order.tried.begin(), order.tried.end(), leaf) > 0;
    };
    query.is_last_resort = [this](const model::LeafName& leaf) {
      return state_.OwnerUnconfirmed(leaf);
    };
    const auto chosen = routing::ChooseByFingerprint(index, query);
    if (!chosen) return std::nullopt;
    return chosen->replica;
  }
  routing::ReplicaQuery query;
  query.version = snapshot.version;
  query.shard_count = snapshot.shard_count;
  query.own_zone = state_.OwnZone();
  query.own_region = model::RegionOf(state_.Environment(), state_.OwnZone());
  query.tried = order.tried;
  query.suspect = trust_level == quarantine::TrustLevel::kSuspect;
  query.random = state_.Random();
  return routing::ChooseReplica(index, state_.Leaves(), query);
}

model::LeafCall OrderRunner::MakeCall(const SentOrder& order,
                                      std::uint64_t fingerprint,
                                      const routing::Snapshot& snapshot,
                                      const model::LeafName& leaf) {
  model::LeafCall call;
  call.id = state_.NextCallId();
  call.leaf = leaf;
  call.service = order.order.service;
  call.kind = model::RequestKind::kOrder;
  const model::Service* service =
      model::FindService(state_.Environment(), call.service);
  call.priority = service == nullptr ? 0 : service->priority;
  call.shard_count = snapshot.shard_count;
  call.payload = order.order.payload;
  call.key = order.order.key;
  call.fingerprint = fingerprint;
  call.budget = std::chrono::duration_cast<std::chrono::microseconds>(
      order.deadline - clock_.Now());
  const auto trust_level = state_.quarantine().TrustLevelOf(fingerprint);
  call.exclusive = trust_level == quarantine::TrustLevel::kSuspect;
  call.canary = trust_level != quarantine::TrustLevel::kProven;
  // A call to the last leaf that may be tried waits in the queue there if
  // necessary; calls to earlier leaves are refused rather than queued.
  const std::size_t leaves = std::min(
      kMaxLeavesPerOrder,
      state_.Replicas(order.order.service)
          .Replicas(snapshot.version, snapshot.shard_count, kOrderShard)
          .size());
  call.no_wait = trust_level == quarantine::TrustLevel::kUnproven &&
                 order.tried.size() + 1 < leaves;
  return call;
}

void OrderRunner::SendToLeaf(SentOrder order) {
  const std::uint64_t fingerprint = OrderFingerprint(order.order);
  const auto snapshot =
      routing::ChooseSnapshot(state_.Replicas(order.order.service), {});
  std::optional<routing::Replica> replica;
  if (snapshot) replica = ChooseLeaf(order, fingerprint, *snapshot);
  const model::HostName* owner =
      replica ? state_.Ownership().Owner(replica->leaf) : nullptr;
  const model::Member* arbiter =
      quarantine::ArbiterOf(fingerprint, state_.Members());
  if (owner == nullptr || arbiter == nullptr) {
    orders::Actions actions;
    coordinator_.OnOrderUnsent(order.order.id, kNoLeafRetryAfter, actions);
    return Execute(actions);
  }
  model::LeafCall call = MakeCall(order, fingerprint, *snapshot, replica->leaf);
  order.tried.push_back(call.leaf);
  order.sent_to = call.exclusive ? arbiter->host : *owner;
  state_.Leaves().OnCallSent(call.leaf);
  const model::HostName to = order.sent_to;
  sent_.emplace(call.id, std::move(order));
  outbox_.Send(to, std::move(call));
}

void OrderRunner::Report(const orders::SendOrder& order,
                         const model::LeafReply& reply) {
  orders::Actions actions;
  coordinator_.OnOrderOutcome(order.id, reply.outcome, reply.result,
                              reply.version, reply.retry_after, actions);
  Execute(actions);
}

}  // namespace berylreach::core
