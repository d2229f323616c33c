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
  std::uint64_t failed = 0;
  std::uint64_t abandoned = 0;
  std::uint64_t relayed = 0;
  std::uint64_t relay_failures = 0;
  std::uint64_t leaf_calls = 0;
  std::uint64_t leaf_answers = 0;
  std::uint64_t leaf_sheds = 0;
  std::uint64_t leaf_failures = 0;
};

}  // namespace berylreach::gateway
