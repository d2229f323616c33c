// Counters of the request path.
#pragma once

#include <cstdint>

namespace berylreach::gateway {

/// Counts since the start of the process.
struct GatewayCounters {
  std::uint64_t requests = 0;
  std::uint64_t answered = 0;
  std::uint64_t partial = 0;
  std::uint64_t late = 0;
  std::uint64_t refused = 0;
  /// Of the refused ones, those of requests that end their leaves.
  std::uint64_t blocked = 0;
  std::uint64_t failed = 0;
  std::uint64_t abandoned = 0;
  /// Groups of shards that other hosts were asked to run, those without an
  /// answer, and those that this host was asked to run.
  std::uint64_t groups_sent = 0;
  std::uint64_t group_failures = 0;
  std::uint64_t groups_run = 0;
  std::uint64_t leaf_calls = 0;
  std::uint64_t leaf_answers = 0;
  std::uint64_t leaf_sheds = 0;
  std::uint64_t leaf_failures = 0;
  /// Leaves that said that they leave, and pauses that leaves asked for.
  std::uint64_t leaves_leaving = 0;
  std::uint64_t leaf_pauses = 0;
  /// Calls whose connection ended before the answer.
  std::uint64_t leaf_calls_lost = 0;
};

}  // namespace berylreach::gateway
