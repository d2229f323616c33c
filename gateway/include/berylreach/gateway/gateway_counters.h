// Counters of the request path.
#pragma once

#include <cstdint>

namespace berylreach::gateway {

/// Counts since the start of the process.
struct GatewayCounters {
  std::uint64_t requests = 0;
  /// Requests answered by leaves, including those also counted in `partial`.
  std::uint64_t answered = 0;
  std::uint64_t partial = 0;
  /// Requests that took longer than their route's latency objective, whatever
  /// their outcome.
  std::uint64_t late = 0;
  std::uint64_t refused = 0;
  /// Refused requests, also counted in `refused`, that were refused because
  /// they are suspected of crashing leaves.
  std::uint64_t blocked = 0;
  std::uint64_t failed = 0;
  /// Requests whose caller disconnected before the response.
  std::uint64_t abandoned = 0;
  /// Groups of shards that other hosts were asked to run, such groups that
  /// failed, and groups that this host was asked to run.
  std::uint64_t groups_sent = 0;
  std::uint64_t group_failures = 0;
  std::uint64_t groups_run = 0;
  std::uint64_t leaf_calls = 0;
  std::uint64_t leaf_answers = 0;
  /// Calls that leaves refused without running them.
  std::uint64_t leaf_sheds = 0;
  std::uint64_t leaf_failures = 0;
  /// Leaves that announced that they are leaving, and pauses that leaves
  /// requested by Retry-After.
  std::uint64_t leaves_leaving = 0;
  std::uint64_t leaf_pauses = 0;
  /// Rate limits that leaves have begun to state.
  std::uint64_t leaf_rate_limits = 0;
  /// Calls whose connection was lost before the response.
  std::uint64_t leaf_calls_lost = 0;
  /// Changes of a route to a new set of shards, by cause.
  std::uint64_t shard_sets_ready = 0;
  std::uint64_t shard_sets_timed = 0;
  std::uint64_t shard_sets_old_gone = 0;
};

}  // namespace berylreach::gateway
