// Simulated entry host.
#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "bench_options.h"
#include "berylreach/query/query_context.h"
#include "berylreach/routing/replica_index_cache.h"

namespace berylreach::bench {

/// The state of one host that its query runners use. The environment has one
/// service, whose leaves are named by their index `shard * replicas + replica`
/// and hold their shard at version 1.
class BenchHost final : public query::QueryContext {
 public:
  BenchHost(const BenchOptions& options, const base::Clock& clock,
            std::uint64_t index);

  const model::Environment& Environment() const override {
    return environment_;
  }
  const std::vector<model::Member>& Members() const override {
    return members_;
  }
  const routing::OwnershipTable& Ownership() const override {
    return ownership_;
  }
  const model::ZoneName& OwnZone() const override {
    return environment_.zones[options_.ZoneOfHost(index_)].name;
  }
  routing::LeafTable& Leaves() override { return leaves_; }
  const routing::ReplicaIndex& Replicas(
      const model::ServiceName& service) override {
    return cache_.Get(environment_, 1, service, leaves_);
  }
  quarantine::Quarantine& quarantine() override { return suspects_; }
  base::QuantileWindow& Latency(const model::ServiceName&) override {
    return latency_;
  }
  base::TokenBucket& HedgeBudget() override { return hedge_budget_; }
  base::TokenBucket& RetryBudget() override { return retry_budget_; }
  base::TimePoint LeaseExpiry() const override {
    return base::TimePoint::max();
  }
  model::CallId NextCallId() override { return {index_, ++last_call_}; }
  std::uint64_t Random() override { return random_(); }

 private:
  /// Leaf latencies in the window: those of about 50 queries of 20 shards.
  static constexpr std::size_t kLatencySamples = 1000;
  static constexpr double kRetryBurst = 20;

  void AddLeaf(std::uint32_t shard, std::uint32_t replica);

  const BenchOptions options_;
  /// Index of the host, also the incarnation in its call ids.
  std::uint64_t index_;
  std::uint64_t last_call_ = 0;
  std::mt19937_64 random_;
  model::Environment environment_;
  std::vector<model::Member> members_;
  routing::OwnershipTable ownership_;
  routing::LeafTable leaves_;
  routing::ReplicaIndexCache cache_;
  quarantine::Quarantine suspects_;
  base::QuantileWindow latency_{kLatencySamples};
  base::TokenBucket hedge_budget_;
  base::TokenBucket retry_budget_{0.1, kRetryBurst};
};

}  // namespace berylreach::bench
