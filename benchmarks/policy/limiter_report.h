// Runs and prints the rows of the limiter comparisons.
#pragma once

#include <cstdint>
#include <vector>

#include "bench_options.h"
#include "limiter_options.h"

namespace berylreach::bench {

struct LimiterRow {
  const char* name;
  Method method = Method::kQueryRunner;
  LimiterOptions limiter;
};

// Runs every row with the seeds 1 to `seeds` and prints it as a table line. All
// figures of the first table are medians over the seeds but for the largest
// concurrency; the second table takes all cold starts of all seeds together.
void PrintLimitTable(const BenchOptions& options,
                     const std::vector<LimiterRow>& rows, std::uint32_t seeds);
void PrintColdTable(const BenchOptions& options,
                    const std::vector<LimiterRow>& rows, std::uint32_t seeds);

}  // namespace berylreach::bench
