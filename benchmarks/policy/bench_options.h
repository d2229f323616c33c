// Parameters of one simulation run.
#pragma once

#include <cstdint>

#include "berylreach/base/clock.h"
#include "berylreach/query/hedge_policy.h"

namespace berylreach::bench {

/// How the entry host runs a query.
enum class Method {
  /// One call to a random replica of each shard, without hedges.
  kRandomReplica,
  /// query::QueryRunner, as in production.
  kQueryRunner
};

/// Runs with equal options, including the seed, give equal results.
struct BenchOptions {
  std::uint64_t seed = 1;
  Method method = Method::kQueryRunner;
  query::HedgePolicy hedge;
  /// Hedges per first call.
  double hedge_budget = 0.049;
  /// Fraction of the slots that first calls keep busy, stragglers included.
  double load = 0.2;
  std::uint32_t queries = 20000;
  std::uint32_t hosts = 6;
  std::uint32_t shards = 20;
  std::uint32_t replicas = 2;
  std::uint32_t slots = 2;
  /// Zones over which the hosts, and the replicas of each shard, are spread.
  std::uint32_t zones = 1;
  /// Each zone is a region of its own; otherwise all are in one region.
  bool zone_is_region = true;
  bool stragglers = true;
  /// Each query has a fingerprint of its own and starts with a canary.
  bool unproven = false;
  /// Requests are lookups, which call one shard, instead of queries.
  bool lookups = false;
  /// Cancelling a running call frees its slot immediately.
  bool cancel_running = true;
  /// The owner's queue is ordered by deadline (section 3.4 of docs/design.md);
  /// otherwise by arrival.
  bool deadline_order = true;
  /// Hedges that a host may send in a burst.
  double hedge_burst = 50;
  /// One-way network delay within a zone.
  base::Duration delay_within_zone = std::chrono::microseconds(100);
  /// One-way network delay between two zones.
  base::Duration delay_between_zones = std::chrono::milliseconds(20);

  /// Shards that one request calls.
  std::uint32_t ShardsPerRequest() const { return lookups ? 1 : shards; }
  /// Zones are numbered from 0.
  std::size_t ZoneOfHost(std::uint64_t host) const { return host % zones; }
  std::size_t ZoneOfLeaf(std::size_t leaf) const {
    return (leaf / replicas + leaf % replicas) % zones;
  }
  /// One-way network delay between a host and a leaf.
  base::Duration Delay(std::uint64_t host, std::size_t leaf) const {
    return ZoneOfHost(host) == ZoneOfLeaf(leaf) ? delay_within_zone
                                                : delay_between_zones;
  }
};

}  // namespace berylreach::bench
