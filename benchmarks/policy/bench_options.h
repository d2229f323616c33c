// Parameters of one benchmark run.
#pragma once

#include <cstdint>

#include "berylreach/base/clock.h"
#include "berylreach/query/hedge_policy.h"

namespace berylreach::bench {

// How queries are run.
enum class Method { kRandomReplica, kQueryRunner };

// One run; two runs with equal options give equal results.
struct BenchOptions {
  std::uint64_t seed = 1;
  Method method = Method::kQueryRunner;
  query::HedgePolicy hedge;
  double hedge_budget = 0.049;
  // Fraction of the slots kept busy by first calls, stragglers included.
  double load = 0.2;
  std::uint32_t queries = 20000;
  std::uint32_t hosts = 6;
  std::uint32_t shards = 20;
  std::uint32_t replicas = 2;
  std::uint32_t slots = 2;
  // Hosts and the replicas of a shard are spread over them.
  std::uint32_t zones = 1;
  // Each zone is a region of its own.
  bool zone_is_region = true;
  bool stragglers = true;
  // Every query has its own fingerprint and starts with a canary.
  bool unproven = false;
  // A cancelled call gives its slot back at once.
  bool cancel_running = true;
  // The owner's queue is ordered by deadline (design 3.4) and not by arrival.
  bool deadline_order = true;
  // Hedges that a host may send at once after a quiet time.
  double burst = 50;
  base::Duration hop = std::chrono::microseconds(100);
};

}  // namespace berylreach::bench
