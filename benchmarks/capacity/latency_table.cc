// Simulated latency of queries that go to many shards.
#include "latency_table.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <random>
#include <vector>

namespace berylreach::capacity {
namespace {

constexpr std::size_t kShards = 720;
constexpr double kLogNormalSigma = 0.35;
constexpr double kStragglerRatio = 0.01;
constexpr double kStragglerFactor = 10;
// Latency target: 99 of 100 queries must be answered within this time.
constexpr double kTargetMs = 260;
constexpr double kTargetQuantile = 0.99;

/// When and how often leaf calls are hedged.
struct HedgePolicy {
  const char* name;
  /// Quantile of the leaf latency after which a call is hedged; 0 for no
  /// hedges.
  double hedge_quantile;
  /// Tokens that each leaf call adds to the hedge budget; a hedge takes one.
  double hedge_ratio;
  /// Maximum number of tokens that the budget accumulates.
  double max_hedge_tokens;
};

/// Simulates queries with log-normal leaf latencies, some of them stragglers.
/// All times are in multiples of the median leaf latency.
class Simulation {
 public:
  explicit Simulation(std::uint64_t seed) : random_(seed) {}

  double SampleLeafLatency() {
    const double time = latency_(random_);
    return unit_(random_) < kStragglerRatio ? kStragglerFactor * time : time;
  }

  /// Latency of one query that ends when `needed` shards have answered. Leaf
  /// calls are hedged after `hedge_delay`; 0 for no hedges.
  double SimulateQuery(double hedge_delay, const HedgePolicy& policy,
                       std::size_t needed) {
    std::vector<double> times(kShards);
    for (double& time : times) time = SampleLeafLatency();
    ApplyHedges(times, hedge_delay, policy);
    std::nth_element(times.begin(),
                     times.begin() + static_cast<std::ptrdiff_t>(needed) - 1,
                     times.end());
    return times.at(needed - 1);
  }

  double hedge_count() const { return hedge_count_; }
  double call_count() const { return call_count_; }

 private:
  void ApplyHedges(std::vector<double>& times, double hedge_delay,
                   const HedgePolicy& policy) {
    call_count_ += kShards;
    hedge_tokens_ = std::min(policy.max_hedge_tokens,
                             hedge_tokens_ + policy.hedge_ratio * kShards);
    if (hedge_delay == 0) return;
    for (double& time : times) {
      if (time <= hedge_delay || hedge_tokens_ < 1) continue;
      hedge_tokens_ -= 1;
      ++hedge_count_;
      time = std::min(time, hedge_delay + SampleLeafLatency());
    }
  }

  std::mt19937_64 random_;
  std::lognormal_distribution<double> latency_{0, kLogNormalSigma};
  std::uniform_real_distribution<double> unit_{0, 1};
  double hedge_tokens_ = 0;
  double hedge_count_ = 0;
  double call_count_ = 0;
};

double Quantile(std::vector<double>& values, double quantile) {
  const auto index = static_cast<std::size_t>(
      quantile * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(),
                   values.begin() + static_cast<std::ptrdiff_t>(index),
                   values.end());
  return values.at(index);
}

double LeafQuantile(double quantile) {
  constexpr std::size_t samples = 1'000'000;
  Simulation simulation(2);
  std::vector<double> values(samples);
  for (double& value : values) value = simulation.SampleLeafLatency();
  return Quantile(values, quantile);
}

void PrintRow(const HedgePolicy& policy, double coverage, std::size_t trials) {
  const double hedge_delay =
      policy.hedge_quantile == 0 ? 0 : LeafQuantile(policy.hedge_quantile);
  const auto needed = static_cast<std::size_t>(
      std::ceil(coverage * static_cast<double>(kShards) - 1e-9));
  Simulation simulation(1);
  std::vector<double> latencies(trials);
  for (double& latency : latencies)
    latency = simulation.SimulateQuery(hedge_delay, policy, needed);
  const double median = Quantile(latencies, 0.5);
  const double p99 = Quantile(latencies, kTargetQuantile);
  std::printf("%s\t%g\t%.3f\t%.2f\t%.2f\t%.4f\t%.1f\n", policy.name, coverage,
              hedge_delay, median, p99,
              simulation.hedge_count() / simulation.call_count(),
              kTargetMs / p99);
}

}  // namespace

int SimulateLatency(std::size_t trials) {
  std::printf(
      "policy\tcoverage\thedge_at\tp50\tp99\textra_ratio\t"
      "largest_leaf_median_ms\n");
  const HedgePolicy policies[] = {
      {"none", 0, 0, 0},
      // A burst of 20 is one hedge for each shard of a query of 20 shards, and
      // one of 720 for each shard of the queries simulated here. The budget of
      // the hosts is set in core/lib/shared_state.cc and is neither of these.
      {"p95-budget-5%-burst-20", 0.95, 0.05, 20},
      {"p95-budget-5%-burst-720", 0.95, 0.05, 720},
      {"p97-budget-5%-burst-720", 0.97, 0.05, 720},
      {"p98-budget-5%-burst-720", 0.98, 0.05, 720},
      {"p95-budget-10%-burst-720", 0.95, 0.10, 720},
  };
  for (const HedgePolicy& policy : policies) {
    for (const double coverage : {1.0, 0.999, 0.998, 0.99})
      PrintRow(policy, coverage, trials);
  }
  return 0;
}

}  // namespace berylreach::capacity
