// Figures of one benchmark run.
#pragma once

#include <cstdint>
#include <vector>

namespace berylreach::bench {

// Latencies are of whole queries, in milliseconds and sorted.
struct BenchResult {
  std::vector<double> latencies_ms;
  // One for each shard of each query.
  std::uint64_t calls_needed = 0;
  std::uint64_t calls_started = 0;
  std::uint64_t whole_answers = 0;
  double busy_slot_seconds = 0;
  double slot_seconds = 0;

  double Quantile(double q) const {
    const auto last = static_cast<double>(latencies_ms.size() - 1);
    return latencies_ms[static_cast<std::size_t>(q * last)];
  }
  double ExtraCalls() const {
    return static_cast<double>(calls_started) /
               static_cast<double>(calls_needed) -
           1;
  }
  double Coverage() const {
    return static_cast<double>(whole_answers) /
           static_cast<double>(latencies_ms.size());
  }
  double Busy() const { return busy_slot_seconds / slot_seconds; }
};

}  // namespace berylreach::bench
