// Relaying and deferral of forwarded orders, and execution of the actions of
// the order coordinator.
#include "berylreach/core/order_runner.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

#include "berylreach/base/rendezvous.h"
#include "berylreach/config/order_journal_codec.h"

namespace berylreach::core {
namespace {

using model::LeafOutcome;

// Time after the deadline of a relayed order for which it is remembered, so
// that a late reply still reaches the host that forwarded the order.
constexpr std::chrono::seconds kRelayRetention{1};
// Delay before a deferred order is handled again. A change of members reaches
// the other regions within about 20 ms.
constexpr std::chrono::milliseconds kDeferredRetryDelay{20};

}  // namespace

model::LeafName BucketName(std::uint32_t bucket) {
  return {"orders/" + std::to_string(bucket)};
}

const model::Member* BucketOwner(std::uint32_t bucket,
                                 const std::vector<model::Member>& members) {
  const std::string name = BucketName(bucket).value;
  const auto winner =
      std::max_element(members.begin(), members.end(),
                       [&](const model::Member& a, const model::Member& b) {
                         return base::RendezvousWeight(name, a.host.value) <
                                base::RendezvousWeight(name, b.host.value);
                       });
  return winner == members.end() ? nullptr : &*winner;
}

OrderRunner::OrderRunner(const base::Clock& clock, SharedState& state,
                         StoreCalls& store, Outbox& outbox)
    : clock_(clock),
      state_(state),
      store_(store),
      outbox_(outbox),
      coordinator_(clock, state.self().host, state.self().incarnation) {}

void OrderRunner::OnForward(const model::HostName& from,
                            const model::OrderForward& received) {
  model::OrderForward forward = received;
  const auto wall = clock_.WallNow().time_since_epoch();
  const auto left = std::chrono::milliseconds(forward.deadline_unix_ms) -
                    std::chrono::duration_cast<std::chrono::milliseconds>(wall);
  // The host that forwarded the order has already answered the caller.
  if (left <= std::chrono::milliseconds(0)) return;
  forward.budget = std::min<std::chrono::microseconds>(forward.budget, left);
  const auto bucket = orders::BucketOf(forward.service, forward.key);
  const model::Member* owner = BucketOwner(bucket, state_.Members());
  // Only the owner of a bucket may claim orders in it: it may reply "not run"
  // only because it knows all claims in the bucket.
  if (owner != nullptr && owner->host != outbox_.self()) {
    return Relay(from, forward, owner->host);
  }
  // For the same reason an order must not be claimed before the takeover of the
  // bucket is complete. A newly started host also waits for its lease.
  if (owner != nullptr && !CanClaim(bucket)) return Defer(from, forward);
  origins_.emplace(forward.id, from);
  orders::Actions actions;
  coordinator_.OnForward(forward, actions);
  Execute(actions);
}

bool OrderRunner::CanClaim(std::uint32_t bucket) const {
  const bool exclusive =
      std::find(exclusive_buckets_.begin(), exclusive_buckets_.end(), bucket) !=
      exclusive_buckets_.end();
  return exclusive && state_.HoldsLease();
}

void OrderRunner::Defer(const model::HostName& from,
                        const model::OrderForward& forward) {
  const auto [found, added] = relayed_.try_emplace(
      forward.id, RelayedOrder{from, clock_.Now() + forward.budget, {}, {}});
  found->second.deferred = forward;
  found->second.retry_at = clock_.Now() + kDeferredRetryDelay;
}

void OrderRunner::Relay(const model::HostName& from,
                        const model::OrderForward& forward,
                        const model::HostName& owner) {
  const auto deadline = clock_.Now() + forward.budget;
  const auto [found, added] =
      relayed_.try_emplace(forward.id, RelayedOrder{from, deadline, {}, {}});
  if (added) return outbox_.Send(owner, forward);
  Defer(from, forward);
}

void OrderRunner::RetryDeferred() {
  std::vector<RelayedOrder> due;
  std::erase_if(relayed_, [&](const auto& item) {
    const RelayedOrder& order = item.second;
    if (order.deadline <= clock_.Now()) {
      return order.deadline + kRelayRetention < clock_.Now();
    }
    const bool retry = order.deferred && order.retry_at <= clock_.Now();
    if (retry) due.push_back(order);
    return retry;
  });
  for (RelayedOrder& order : due) {
    order.deferred->budget =
        std::chrono::duration_cast<std::chrono::microseconds>(order.deadline -
                                                              clock_.Now());
    OnForward(order.from, *order.deferred);
  }
}

std::optional<base::TimePoint> OrderRunner::NextWakeup() const {
  auto next = coordinator_.NextWakeup();
  for (const auto& [id, order] : relayed_) {
    if (!order.deferred || order.deadline <= clock_.Now()) continue;
    if (!next || order.retry_at < *next) next = order.retry_at;
  }
  return next;
}

bool OrderRunner::OnOrderReply(const model::OrderReply& reply) {
  const auto node = relayed_.extract(reply.id);
  if (node.empty()) return false;
  outbox_.Send(node.mapped().from, reply);
  return true;
}

bool OrderRunner::Owns(std::uint32_t bucket) const {
  const model::Member* owner = BucketOwner(bucket, state_.Members());
  return owner != nullptr && owner->host == outbox_.self();
}

std::vector<model::LeafName> OrderRunner::HeldBuckets() const {
  std::vector<model::LeafName> held;
  for (const std::uint32_t bucket : coordinator_.BucketsWithOpenOrders()) {
    if (!Owns(bucket)) held.push_back(BucketName(bucket));
  }
  return held;
}

void OrderRunner::OnJournalRead(std::uint64_t id,
                                const model::StoreResult& result) {
  model::StoreOutcome outcome = result.outcome;
  model::OrderJournal journal;
  if (outcome == model::StoreOutcome::kOk) {
    auto decoded = config::DecodeOrderJournal(result.value);
    if (decoded.value) {
      journal = std::move(*decoded.value);
    } else {
      outbox_.Record("journal_unreadable", std::to_string(id),
                     decoded.findings.front().message);
      // A journal that cannot be decoded must not be treated as empty, since
      // its orders would then run again.
      outcome = model::StoreOutcome::kUnknown;
    }
  }
  orders::Actions actions;
  coordinator_.OnJournalRead(id, outcome, std::move(journal), result.revision,
                             actions);
  Execute(actions);
}

void OrderRunner::OnJournalCas(std::uint64_t id,
                               const model::StoreResult& result) {
  orders::Actions actions;
  coordinator_.OnJournalCas(id, result.outcome, result.revision, actions);
  Execute(actions);
}

void OrderRunner::OnMemberRemoved(const model::HostName& host) {
  FinishSent(LeafOutcome::kLost,
             [&](const SentOrder& order) { return order.sent_to == host; });
}

void OrderRunner::SetLeaseExpiry(base::TimePoint expiry) {
  const bool holds = clock_.Now() < expiry;
  if (holds) {
    coordinator_.OnLeaseExtended(expiry);
  } else if (had_lease_) {
    orders::Actions actions;
    coordinator_.OnLeaseLost(actions);
    Execute(actions);
  }
  had_lease_ = holds;
}

void OrderRunner::SetExclusiveBuckets(
    const std::vector<std::uint32_t>& buckets) {
  if (buckets == exclusive_buckets_) return;
  exclusive_buckets_ = buckets;
  orders::Actions actions;
  coordinator_.OnExclusiveBuckets(buckets, actions);
  Execute(actions);
}

void OrderRunner::Tick() {
  orders::Actions actions;
  coordinator_.Tick(actions);
  Execute(actions);
  RetryDeferred();
  // A call whose reply was lost ends at its deadline. It may have run.
  FinishSent(LeafOutcome::kTimedOut, [&](const SentOrder& order) {
    return clock_.Now() >= order.deadline;
  });
}

void OrderRunner::Execute(const orders::Actions& actions) {
  for (const orders::Action& action : actions) {
    if (const auto* read = std::get_if<orders::ReadJournal>(&action)) {
      store_.ReadJournal(read->id, read->bucket);
    } else if (const auto* cas = std::get_if<orders::CasJournal>(&action)) {
      store_.CasJournal(cas->id, cas->bucket, cas->revision, cas->journal);
    } else if (const auto* send = std::get_if<orders::SendOrder>(&action)) {
      SendToLeaf({*send, {}, {}, clock_.Now() + send->budget});
    } else if (const auto* reply = std::get_if<orders::Reply>(&action)) {
      auto origin = origins_.extract(reply->reply.id);
      if (!origin.empty()) outbox_.Send(origin.mapped(), reply->reply);
    } else if (const auto* event = std::get_if<orders::RecordEvent>(&action)) {
      outbox_.Record(event->type, event->subject, event->detail);
    }
  }
}

}  // namespace berylreach::core
