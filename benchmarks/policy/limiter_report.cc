// Runs, statistics and table rows of the limiter comparisons.
#include "limiter_report.h"

#include <algorithm>
#include <cstdio>
#include <functional>
#include <future>

#include "limiter_simulation.h"

namespace berylreach::bench {
namespace {

/// Number of simulations that run in parallel; small, because other users share
/// the machine.
constexpr std::uint32_t kThreads = 3;

using Results = std::vector<LimiterResult>;

Results RunSeeds(const BenchOptions& options, const LimiterRow& row,
                 std::uint32_t seeds) {
  Results results;
  for (std::uint32_t first = 1; first <= seeds; first += kThreads) {
    std::vector<std::future<LimiterResult>> runs;
    for (std::uint32_t seed = first; seed < first + kThreads && seed <= seeds;
         ++seed) {
      BenchOptions seeded = options;
      seeded.seed = seed;
      seeded.method = row.method;
      runs.push_back(std::async(std::launch::async, [seeded, &row] {
        return LimiterSimulation(seeded, row.limiter).RunLimited();
      }));
    }
    for (auto& run : runs) results.push_back(run.get());
  }
  return results;
}

double Median(std::vector<double> values) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

double MedianOf(const Results& results,
                const std::function<double(const LimiterResult&)>& metric) {
  std::vector<double> values;
  for (const LimiterResult& result : results) values.push_back(metric(result));
  return Median(std::move(values));
}

double Ratio(std::uint64_t numerator, std::uint64_t denominator) {
  return denominator == 0 ? 0
                          : static_cast<double>(numerator) /
                                static_cast<double>(denominator);
}

double Milliseconds(base::Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

void PrintLimitRow(const BenchOptions& options, const LimiterRow& row,
                   const Results& results) {
  const auto quantile = [&](double q) {
    return MedianOf(
        results, [q](const auto& r) { return r.queries.LatencyQuantile(q); });
  };
  std::uint32_t max_calls_at_leaf = 0;
  for (const LimiterResult& result : results)
    max_calls_at_leaf =
        std::max(max_calls_at_leaf, result.leaves.max_calls_at_leaf);
  const auto percentage_of_calls = [&](auto count) {
    return 100 * MedianOf(results, [&](const auto& r) {
             return Ratio(count(r.leaves), r.leaves.calls);
           });
  };
  std::printf(
      "| %.0f%% | %s | %s | %.1f / %.1f / %.1f | %.3f%% | %.2f | %u / %u | "
      "%.2f%% | %.3f%% | %.1f%% |\n",
      options.load * 100, row.limiter.uneven ? "uneven" : "even", row.name,
      quantile(0.5), quantile(0.99), quantile(0.999),
      100 * MedianOf(
                results,
                [](const auto& r) { return r.queries.WholeAnswerFraction(); }),
      MedianOf(results,
               [](const auto& r) { return Ratio(r.leaves.calls, r.arrivals); }),
      max_calls_at_leaf, options.slots,
      percentage_of_calls([](const auto& l) { return l.found_all_slots_busy; }),
      percentage_of_calls([](const auto& l) { return l.shed; }),
      100 * MedianOf(results, [](const auto& r) { return r.utilization; }));
  std::fflush(stdout);
}

/// Statistics over all cold starts of a row.
struct ColdStartStatistics {
  std::vector<double> further_starts;
  std::vector<double> warm_ms;
  std::vector<double> full_ms;
  std::vector<double> latencies_ms;
  std::uint32_t max_calls_while_cold = 0;
  std::uint64_t whole_answers = 0;

  void Add(const LimiterResult& result) {
    for (const ColdStart& start : result.leaves.cold_starts) AddStart(start);
    for (const ColdQuery& query : result.cold_queries) {
      latencies_ms.push_back(query.latency_ms);
      if (query.whole) ++whole_answers;
    }
  }

 private:
  void AddStart(const ColdStart& start) {
    further_starts.push_back(start.further_starts);
    max_calls_while_cold =
        std::max(max_calls_while_cold, start.max_calls_while_cold);
    if (start.warm_at)
      warm_ms.push_back(Milliseconds(*start.warm_at - start.started_at));
    if (start.full_at)
      full_ms.push_back(Milliseconds(*start.full_at - start.started_at));
  }
};

double Quantile(std::vector<double> values, double q) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(
      q * static_cast<double>(values.size() - 1))];
}

double Mean(const std::vector<double>& values) {
  double sum = 0;
  for (const double value : values) sum += value;
  return values.empty() ? 0 : sum / static_cast<double>(values.size());
}

void PrintColdStartRow(const BenchOptions& options, const LimiterRow& row,
                       const Results& results) {
  ColdStartStatistics statistics;
  for (const LimiterResult& result : results) statistics.Add(result);
  const std::size_t starts = statistics.further_starts.size();
  std::printf(
      "| %.0f%% | %s | %zu | %.2f / %.0f | %u | %zu | %.0f / %.0f | "
      "%.0f / %.0f | %.3f%% | %.1f |\n",
      options.load * 100, row.name, starts, Mean(statistics.further_starts),
      Quantile(statistics.further_starts, 1), statistics.max_calls_while_cold,
      starts - statistics.warm_ms.size(), Quantile(statistics.warm_ms, 0.5),
      Quantile(statistics.warm_ms, 0.99), Quantile(statistics.full_ms, 0.5),
      Quantile(statistics.full_ms, 0.99),
      100 * Ratio(statistics.whole_answers, statistics.latencies_ms.size()),
      Quantile(statistics.latencies_ms, 0.99));
  std::fflush(stdout);
}

}  // namespace

void PrintLimitTable(const BenchOptions& options,
                     const std::vector<LimiterRow>& rows, std::uint32_t seeds) {
  for (const LimiterRow& row : rows)
    PrintLimitRow(options, row, RunSeeds(options, row, seeds));
}

void PrintColdStartTable(const BenchOptions& options,
                         const std::vector<LimiterRow>& rows,
                         std::uint32_t seeds) {
  for (const LimiterRow& row : rows)
    PrintColdStartRow(options, row, RunSeeds(options, row, seeds));
}

}  // namespace berylreach::bench
