// Medians, sums and table lines of the limiter comparisons.
#include "limiter_report.h"

#include <algorithm>
#include <cstdio>
#include <functional>
#include <future>

#include "limiter_simulation.h"

namespace berylreach::bench {
namespace {

// Other people use the machine too.
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
                const std::function<double(const LimiterResult&)>& figure) {
  std::vector<double> values;
  for (const LimiterResult& result : results) values.push_back(figure(result));
  return Median(std::move(values));
}

double Ratio(std::uint64_t part, std::uint64_t whole) {
  return whole == 0 ? 0
                    : static_cast<double>(part) / static_cast<double>(whole);
}

double Milliseconds(base::Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

void PrintLimitRow(const BenchOptions& options, const LimiterRow& row,
                   const Results& results) {
  const auto quantile = [&](double q) {
    return MedianOf(results,
                    [q](const auto& r) { return r.queries.Quantile(q); });
  };
  std::uint32_t most = 0;
  for (const LimiterResult& result : results)
    most = std::max(most, result.leaves.most_present);
  const auto share = [&](auto part) {
    return 100 * MedianOf(results, [&](const auto& r) {
             return Ratio(part(r.leaves), r.leaves.calls);
           });
  };
  std::printf(
      "| %.0f%% | %s | %s | %.1f / %.1f / %.1f | %.3f%% | %.2f | %u / %u | "
      "%.2f%% | %.3f%% | %.1f%% |\n",
      options.load * 100, row.limiter.uneven ? "uneven" : "even", row.name,
      quantile(0.5), quantile(0.99), quantile(0.999),
      100 *
          MedianOf(results, [](const auto& r) { return r.queries.Coverage(); }),
      MedianOf(results,
               [](const auto& r) { return Ratio(r.leaves.calls, r.arrived); }),
      most, options.slots, share([](const auto& l) { return l.found_full; }),
      share([](const auto& l) { return l.shed; }),
      100 * MedianOf(results, [](const auto& r) { return r.busy; }));
  std::fflush(stdout);
}

// Figures of all cold starts of a row.
struct ColdFigures {
  std::vector<double> further_starts;
  std::vector<double> warm_ms;
  std::vector<double> full_ms;
  std::vector<double> latencies_ms;
  std::uint32_t most_while_cold = 0;
  std::uint64_t whole = 0;

  void Add(const LimiterResult& result) {
    for (const ColdStart& start : result.leaves.cold_starts) AddStart(start);
    for (const ColdQuery& query : result.cold_queries) {
      latencies_ms.push_back(query.latency_ms);
      if (query.whole) ++whole;
    }
  }

 private:
  void AddStart(const ColdStart& start) {
    further_starts.push_back(start.further_starts);
    most_while_cold = std::max(most_while_cold, start.most_while_cold);
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

void PrintColdRow(const BenchOptions& options, const LimiterRow& row,
                  const Results& results) {
  ColdFigures figures;
  for (const LimiterResult& result : results) figures.Add(result);
  const std::size_t starts = figures.further_starts.size();
  std::printf(
      "| %.0f%% | %s | %zu | %.2f / %.0f | %u | %zu | %.0f / %.0f | "
      "%.0f / %.0f | %.3f%% | %.1f |\n",
      options.load * 100, row.name, starts, Mean(figures.further_starts),
      Quantile(figures.further_starts, 1), figures.most_while_cold,
      starts - figures.warm_ms.size(), Quantile(figures.warm_ms, 0.5),
      Quantile(figures.warm_ms, 0.99), Quantile(figures.full_ms, 0.5),
      Quantile(figures.full_ms, 0.99),
      100 * Ratio(figures.whole, figures.latencies_ms.size()),
      Quantile(figures.latencies_ms, 0.99));
  std::fflush(stdout);
}

}  // namespace

void PrintLimitTable(const BenchOptions& options,
                     const std::vector<LimiterRow>& rows, std::uint32_t seeds) {
  for (const LimiterRow& row : rows)
    PrintLimitRow(options, row, RunSeeds(options, row, seeds));
}

void PrintColdTable(const BenchOptions& options,
                    const std::vector<LimiterRow>& rows, std::uint32_t seeds) {
  for (const LimiterRow& row : rows)
    PrintColdRow(options, row, RunSeeds(options, row, seeds));
}

}  // namespace berylreach::bench
