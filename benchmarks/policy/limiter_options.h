// Parameters of the comparisons of leaf limiters.
#pragma once

#include <cstdint>

#include "berylreach/base/clock.h"

namespace berylreach::bench {

// Who limits the calls to a leaf.
enum class LimitScope {
  kNobody,    // Random replica; a shed call is sent again.
  kEachHost,  // Each host keeps to the slots of the leaf by itself.
  kShares,    // Each host has slots / hosts, at least one.
  kTurns,     // As many hosts as there are slots have one each, in turns.
  kOneOwner,  // All calls pass through the owner of the leaf.
};

// How the limit of a leaf rises after evidence of a cold start.
enum class ColdRule {
  kProduct,    // limits::LeafGate: 1, then one more for each run of `limit`.
  kStepwise,   // The same growth in the plain gate.
  kAllAtOnce,  // 1 until the first proven completion, then all slots.
  kNone,       // All slots at any time.
};

struct LimiterOptions {
  LimitScope scope = LimitScope::kOneOwner;
  ColdRule cold_rule = ColdRule::kProduct;
  // One host gets half of the queries.
  bool uneven = false;
  // One way, without a crossing of zones.
  base::Duration zone_hop = std::chrono::microseconds(500);
  // One way, between two zones.
  base::Duration crossing_hop = std::chrono::milliseconds(20);
  // Length of a turn (kTurns).
  base::Duration turn = std::chrono::milliseconds(25);
  // The leaf runs all calls, each slowed down by the ratio of calls to slots,
  // and sheds none.
  bool slow_overload = false;

  // Time between two restarts of a leaf; none if zero.
  base::Duration restart_interval{0};
  // Time that a leaf is down.
  base::Duration down_time = std::chrono::milliseconds(500);
  // Between two status reads of a leaf, as in transport::UpstreamClient.
  base::Duration status_interval = std::chrono::seconds(1);
  // Completions since its start after which a leaf bears one more call; with 0
  // it bears all after the first completion.
  std::uint32_t completions_per_call = 0;
};

}  // namespace berylreach::bench
