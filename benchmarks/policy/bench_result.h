// Measured results of one simulation run.
#pragma once

#include <cstdint>
#include <vector>

namespace berylreach::bench {

struct BenchResult {
  /// Latencies of the measured queries, sorted by Simulation::Run.
  std::vector<double> latencies_ms;
  /// One for each shard of each query; hedges and retries come in addition.
  std::uint64_t calls_needed = 0;
  std::uint64_t calls_started = 0;
  /// Measured queries that were answered with the results of all shards.
  std::uint64_t whole_answers = 0;
  /// Time for which slots ran calls, summed over all slots.
  double busy_slot_seconds = 0;
  /// Duration of the run multiplied by the number of slots.
  double slot_seconds = 0;

  /// Returns the latency quantile `q` in milliseconds.
  double LatencyQuantile(double q) const {
    const auto last = static_cast<double>(latencies_ms.size() - 1);
    return latencies_ms[static_cast<std::size_t>(q * last)];
  }
  /// Returns the started calls beyond `calls_needed`, as a fraction of it.
  double ExtraCallFraction() const {
    return static_cast<double>(calls_started) /
               static_cast<double>(calls_needed) -
           1;
  }
  double WholeAnswerFraction() const {
    return static_cast<double>(whole_answers) /
           static_cast<double>(latencies_ms.size());
  }
  double Utilization() const { return busy_slot_seconds / slot_seconds; }
};

}  // namespace berylreach::bench
