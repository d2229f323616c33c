// Latency of wide queries by simulation.
#pragma once

#include <cstddef>

namespace berylreach::capacity {

/// Prints percentiles of the latency of queries to 720 shards, in multiples of
/// the median leaf latency, without and with hedging and least coverage.
int SimulateLatency(std::size_t trials);

}  // namespace berylreach::capacity
