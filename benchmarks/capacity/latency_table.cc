// Latency of wide queries by simulation.
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
constexpr double kSigma = 0.35;
constexpr double kStragglerRatio = 0.01;
constexpr double kStragglerFactor = 10;
// Answers in 100 that must arrive within this time.
constexpr double kTargetMs = 260;
constexpr double kTargetQuantile = 0.99;

/// One way of answering. Times are in multiples of the median leaf latency.
struct Policy {
  const char* name;
  /// Quantile of the leaf latency at which a hedge starts; 0 for none.
  double hedge_quantile;
  /// Hedges per leaf call that the budget allows.
  double budget;
  /// Most hedges that the budget saves up.
  double burst;
};

class Simulation {
 public:
  explicit Simulation(std::uint64_t seed) : random_(seed) {}

  double Leaf() {
    const double time = latency_(random_);
    return unit_(random_) < kStragglerRatio ? kStragglerFactor * time : time;
  }

  /// Latency of one query that ends when `needed` shards have answered.
  double Query(double hedge_at, const Policy& policy, std::size_t needed) {
    std::vector<double> times(kShards);
    for (double& time : times) time = Leaf();
    Hedge(times, hedge_at, policy);
    std::nth_element(times.begin(),
                     times.begin() + static_cast<std::ptrdiff_t>(needed) - 1,
                     times.end());
    return times.at(needed - 1);
  }

  double hedges() const { return hedges_; }
  double calls() const { return calls_; }

 private:
  void Hedge(std::vector<double>& times, double hedge_at,
             const Policy& policy) {
    calls_ += kShards;
    tokens_ = std::min(policy.burst, tokens_ + policy.budget * kShards);
    if (hedge_at == 0) return;
    for (double& time : times) {
      if (time <= hedge_at || tokens_ < 1) continue;
      tokens_ -= 1;
      ++hedges_;
      time = std::min(time, hedge_at + Leaf());
    }
  }

  std::mt19937_64 random_;
  std::lognormal_distribution<double> latency_{0, kSigma};
  std::uniform_real_distribution<double> unit_{0, 1};
  double tokens_ = 0;
  double hedges_ = 0;
  double calls_ = 0;
};

double Quantile(std::vector<double>& values, double quantile) {
  const auto place = static_cast<std::size_t>(
      quantile * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(),
                   values.begin() + static_cast<std::ptrdiff_t>(place),
                   values.end());
  return values.at(place);
}

double LeafQuantile(double quantile) {
  constexpr std::size_t samples = 1'000'000;
  Simulation simulation(2);
  std::vector<double> values(samples);
  for (double& value : values) value = simulation.Leaf();
  return Quantile(values, quantile);
}

void PrintRow(const Policy& policy, double coverage, std::size_t trials) {
  const double hedge_at =
      policy.hedge_quantile == 0 ? 0 : LeafQuantile(policy.hedge_quantile);
  const auto needed = static_cast<std::size_t>(
      std::ceil(coverage * static_cast<double>(kShards) - 1e-9));
  Simulation simulation(1);
  std::vector<double> latencies(trials);
  for (double& latency : latencies)
    latency = simulation.Query(hedge_at, policy, needed);
  const double median = Quantile(latencies, 0.5);
  const double p99 = Quantile(latencies, kTargetQuantile);
  std::printf("%s\t%g\t%.3f\t%.2f\t%.2f\t%.4f\t%.1f\n", policy.name, coverage,
              hedge_at, median, p99, simulation.hedges() / simulation.calls(),
              kTargetMs / p99);
}

}  // namespace

int SimulateLatency(std::size_t trials) {
  std::printf(
      "policy\tcoverage\thedge_at\tp50\tp99\textra_ratio\t"
      "largest_leaf_median_ms\n");
  const Policy policies[] = {
      {"none", 0, 0, 0},
      // 20 is the burst of core/lib/shared_state.cc.
      {"p95-budget-5%-burst-20", 0.95, 0.05, 20},
      {"p95-budget-5%-burst-720", 0.95, 0.05, 720},
      {"p97-budget-5%-burst-720", 0.97, 0.05, 720},
      {"p98-budget-5%-burst-720", 0.98, 0.05, 720},
      {"p95-budget-10%-burst-720", 0.95, 0.10, 720},
  };
  for (const Policy& policy : policies) {
    for (const double coverage : {1.0, 0.999, 0.998, 0.99})
      PrintRow(policy, coverage, trials);
  }
  return 0;
}

}  // namespace berylreach::capacity
