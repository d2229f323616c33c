// Simulated latency of queries that go to many shards.
#pragma once

#include <cstddef>

namespace berylreach::capacity {

/// Prints percentiles of the latency of queries to 720 shards, in multiples of
/// the median leaf latency, for several hedging policies and values of minimum
/// coverage. Each row simulates `trials` queries. Returns 0.
int SimulateLatency(std::size_t trials);

}  // namespace berylreach::capacity
