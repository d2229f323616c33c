// Result tables of the limiter comparisons.
#pragma once

#include <cstdint>
#include <vector>

#include "bench_options.h"
#include "limiter_options.h"

namespace berylreach::bench {

/// Name and parameters of one table row.
struct LimiterRow {
  const char* name;
  Method method = Method::kQueryRunner;
  LimiterOptions limiter;
};

/// Runs each row with the seeds 1 to `seeds` and prints the medians over the
/// seeds; the number of calls at a leaf is the maximum instead.
void PrintLimitTable(const BenchOptions& options,
                     const std::vector<LimiterRow>& rows, std::uint32_t seeds);
/// Runs each row with the seeds 1 to `seeds` and prints statistics over the
/// cold starts of all seeds together.
void PrintColdStartTable(const BenchOptions& options,
                         const std::vector<LimiterRow>& rows,
                         std::uint32_t seeds);

}  // namespace berylreach::bench
