// A QueryContext for tests of query runners.
#pragma once

#include <random>
#include <string>
#include <vector>

#include "berylreach/base/manual_clock.h"
#include "berylreach/query/query_context.h"
#include "berylreach/routing/replica_index_cache.h"

namespace berylreach::query {

// The context of a host whose document has the service "desk" with `shards`
// shards. Leaf "s<i>r<j>" is replica j of shard i in zone "z<j>" and is owned
// by host "h<j>".
class FakeContext : public QueryContext {
 public:
  FakeContext(const base::Clock& clock, std::uint32_t shards,
              std::uint32_t replicas, std::uint64_t incarnation = 1)
      : leaves(clock),
        suspects(clock),
        cache_(clock),
        clock_(clock),
        incarnation_(incarnation),
        random_(incarnation) {
    model::Service service;
    service.name = {"desk"};
    service.shards = shards;
    service.accepts = {model::RequestKind::kQuery, model::RequestKind::kLookup};
    for (std::uint32_t j = 0; j < replicas; ++j) {
      const std::string number = std::to_string(j);
      environment.zones.push_back({{"z" + number}, "region"});
      model::Member member;
      member.host = {"h" + number};
      member.zone = {"z" + number};
      members.push_back(member);
      for (std::uint32_t i = 0; i < shards; ++i) {
        service.leaves.push_back(
            {LeafOf(i, j), "127.0.0.1:1", {"z" + number}, 2, 25});
      }
    }
    environment.services.push_back(service);
    ownership = routing::OwnershipTable(1, 1, environment, members);
  }

  static model::LeafName LeafOf(std::uint32_t shard, std::uint32_t replica) {
    return {"s" + std::to_string(shard) + "r" + std::to_string(replica)};
  }

  // Lets replica `replica` of every shard hold its shard at `versions`.
  void Hold(std::uint32_t replica, const std::vector<std::uint64_t>& versions) {
    const std::uint32_t count = environment.services[0].shards;
    for (std::uint32_t i = 0; i < count; ++i) {
      HoldLeaf(i, replica, versions);
    }
  }

  // Lets one leaf hold its shard at `versions`.
  void HoldLeaf(std::uint32_t shard, std::uint32_t replica,
                const std::vector<std::uint64_t>& versions) {
    model::LeafState state;
    state.leaf = LeafOf(shard, replica);
    state.sequence = ++sequence_;
    for (std::uint64_t version : versions) {
      state.holdings.push_back(
          {version, shard, environment.services[0].shards});
    }
    leaves.Merge(state);
  }

  const model::Environment& Environment() const override { return environment; }
  const std::vector<model::Member>& Members() const override { return members; }
  const routing::OwnershipTable& Ownership() const override {
    return ownership;
  }
  const model::ZoneName& OwnZone() const override { return own_zone; }
  routing::LeafTable& Leaves() override { return leaves; }
  const routing::ReplicaIndex& Replicas(
      const model::ServiceName& service) override {
    return cache_.Get(environment, document_version, service, leaves);
  }
  quarantine::Quarantine& quarantine() override { return suspects; }
  base::QuantileWindow& Latency(const model::ServiceName&) override {
    return latency;
  }
  base::TokenBucket& HedgeBudget() override { return hedge_budget; }
  base::TokenBucket& RetryBudget() override { return retry_budget; }
  base::TimePoint LeaseExpiry() const override { return clock_.Now() + lease; }
  model::CallId NextCallId() override { return {incarnation_, ++counter_}; }
  std::uint64_t Random() override { return random_(); }

  model::Environment environment;
  std::uint64_t document_version = 1;
  std::vector<model::Member> members;
  routing::OwnershipTable ownership;
  model::ZoneName own_zone{"z0"};
  routing::LeafTable leaves;
  quarantine::Quarantine suspects;
  base::QuantileWindow latency{200};
  base::TokenBucket hedge_budget{0.05, 10};
  base::TokenBucket retry_budget{0.1, 10};
  base::Duration lease = std::chrono::milliseconds(1500);

 private:
  routing::ReplicaIndexCache cache_;
  const base::Clock& clock_;
  std::uint64_t incarnation_;
  std::uint64_t counter_ = 0;
  std::uint64_t sequence_ = 0;
  std::mt19937_64 random_;
};

}  // namespace berylreach::query
