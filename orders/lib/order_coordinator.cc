// Dispatch of events to the buckets of the order coordinator.
#include "berylreach/orders/order_coordinator.h"

#include <algorithm>
#include <utility>

#include "bucket_coordinator.h"
#include "coordinator_state.h"

namespace berylreach::orders {

OrderCoordinator::OrderCoordinator(const base::Clock& clock,
                                   model::HostName host,
                                   std::uint64_t incarnation,
                                   OrderOptions options)
    : state_(new CoordinatorState{
          .clock = clock,
          .host = std::move(host),
          .incarnation = incarnation,
          .options = options,
          .counters = {},
          .sent = {},
      }) {
  for (std::uint32_t bucket = 0; bucket < kBucketCount; ++bucket) {
    buckets_[bucket] = std::make_unique<BucketCoordinator>(*state_, bucket);
  }
}

OrderCoordinator::~OrderCoordinator() = default;

void OrderCoordinator::OnForward(const model::OrderForward& forward,
                                 Actions& out) {
  buckets_[BucketOf(forward.service, forward.key)]->OnForward(forward, out);
}

void OrderCoordinator::OnJournalRead(std::uint64_t id,
                                     model::StoreOutcome outcome,
                                     model::OrderJournal journal,
                                     std::uint64_t revision, Actions& out) {
  buckets_[id % kBucketCount]->OnRead(id, outcome, std::move(journal), revision,
                                      out);
}

void OrderCoordinator::OnJournalCas(std::uint64_t id,
                                    model::StoreOutcome outcome,
                                    std::uint64_t revision, Actions& out) {
  buckets_[id % kBucketCount]->OnCas(id, outcome, revision, out);
}

void OrderCoordinator::OnOrderOutcome(const model::CallId& id,
                                      model::LeafOutcome outcome,
                                      std::string result, std::uint64_t version,
                                      std::chrono::milliseconds retry_after,
                                      Actions& out) {
  const auto sent = state_->sent.find(id);
  if (sent == state_->sent.end()) return;
  const OrderKey key = sent->second;
  buckets_[BucketOf(key.service, key.key)]->OnOutcome(
      key, outcome, std::move(result), version, retry_after, out);
}

void OrderCoordinator::OnOrderUnsent(const model::CallId& id,
                                     std::chrono::milliseconds retry_after,
                                     Actions& out) {
  OnOrderOutcome(id, model::LeafOutcome::kNotSent, "", 0, retry_after, out);
}

void OrderCoordinator::OnLeaseExtended(base::TimePoint expiry) {
  state_->lease_expiry = expiry;
}

void OrderCoordinator::OnLeaseLost(Actions& out) {
  for (const auto& bucket : buckets_) bucket->OnLeaseLost(out);
  state_->lease_expiry = base::TimePoint::min();
}

void OrderCoordinator::OnExclusiveBuckets(
    const std::vector<std::uint32_t>& buckets, Actions& out) {
  for (std::uint32_t bucket = 0; bucket < kBucketCount; ++bucket) {
    const bool listed =
        std::find(buckets.begin(), buckets.end(), bucket) != buckets.end();
    buckets_[bucket]->SetExclusive(listed, out);
  }
}

void OrderCoordinator::Tick(Actions& out) {
  for (const auto& bucket : buckets_) bucket->Tick(out);
}

std::optional<base::TimePoint> OrderCoordinator::NextWakeup() const {
  std::optional<base::TimePoint> next;
  for (const auto& bucket : buckets_) {
    const auto wakeup = bucket->NextWakeup();
    if (wakeup && (!next || *wakeup < *next)) next = wakeup;
  }
  return next;
}

std::size_t OrderCoordinator::open_orders() const {
  std::size_t open = 0;
  for (const auto& bucket : buckets_) open += bucket->open_orders();
  return open;
}

std::vector<std::uint32_t> OrderCoordinator::BucketsWithOpenOrders() const {
  std::vector<std::uint32_t> busy;
  for (std::uint32_t bucket = 0; bucket < kBucketCount; ++bucket) {
    if (buckets_[bucket]->open_orders() > 0) busy.push_back(bucket);
  }
  return busy;
}

std::size_t OrderCoordinator::unwritten_outcomes() const {
  std::size_t unwritten = 0;
  for (const auto& bucket : buckets_) unwritten += bucket->unwritten_outcomes();
  return unwritten;
}

const OrderCounters& OrderCoordinator::counters() const {
  return state_->counters;
}

}  // namespace berylreach::orders
