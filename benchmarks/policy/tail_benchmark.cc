// Measures the tail latency of a sharded service, by default the order desk,
// with and without stragglers (section 1.3 of docs/design.md), in virtual time.
//
// Each line has the medians over the seeds. The ratio is the p99 divided by the
// p99 of the same method without stragglers.
#include <gflags/gflags.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <functional>
#include <future>
#include <limits>
#include <vector>

#include "bench_options.h"
#include "bench_result.h"
#include "simulation.h"

DEFINE_uint32(queries, 20000, "measured queries per run");
DEFINE_uint32(seeds, 5, "runs per line, with the seeds 1, 2 and so on");
DEFINE_double(quantile, berylreach::query::HedgePolicy{}.quantile,
              "quantile of leaf latency after which a shard is hedged");
DEFINE_double(scarce_quantile, berylreach::query::HedgePolicy{}.scarce_quantile,
              "quantile when the hedge budget is empty");
DEFINE_double(last_quantile, berylreach::query::HedgePolicy{}.last_quantile,
              "quantile for the last unanswered shards of a query");
DEFINE_uint32(last_shards, berylreach::query::HedgePolicy{}.last_shards,
              "maximum number of unanswered shards that count as the last");
DEFINE_bool(move_queued, berylreach::query::HedgePolicy{}.move_queued,
            "a hedge replaces a call that is still queued");
DEFINE_bool(same_replica, berylreach::query::HedgePolicy{}.same_replica,
            "a hedge may go to a replica that was tried before");
DEFINE_uint32(hedges, berylreach::query::HedgePolicy{}.hedges_per_shard,
              "maximum hedges per shard");
DEFINE_double(budget, 0.049, "hedges per first call");
DEFINE_bool(hedge_canary, true, "canaries may be hedged");
DEFINE_bool(unproven, false, "every query starts with a canary");
DEFINE_bool(lookups, false, "requests are lookups of one shard");
DEFINE_uint32(shards, 20, "shards of the service");
DEFINE_uint32(replicas, 2, "leaves per shard");
DEFINE_uint32(slots, 2, "slots per leaf");
DEFINE_uint32(regions, 1, "regions of hosts and leaves, 20 ms apart one way");
DEFINE_double(hop_ms, 0.1, "one-way network latency within a region in ms");
DEFINE_bool(cancel, true, "cancelling a running call frees its slot");
DEFINE_bool(deadline_order, true,
            "the owner's queue is ordered by deadline instead of arrival");
DEFINE_double(burst, 50, "hedges that a host may send at once, in a burst");
DEFINE_double(
    load, 0,
    "run only this load, the fraction of busy slots: 0.2 or 0.5; 0: run both");
DEFINE_bool(baseline, true,
            "also run the baseline, random replicas without hedges");

namespace berylreach::bench {
namespace {

BenchOptions OptionsFromFlags(double load) {
  BenchOptions options;
  options.load = load;
  options.queries = FLAGS_queries;
  options.hedge.quantile = FLAGS_quantile;
  options.hedge.scarce_quantile = FLAGS_scarce_quantile;
  options.hedge.last_quantile = FLAGS_last_quantile;
  options.hedge.last_shards = FLAGS_last_shards;
  options.hedge.move_queued = FLAGS_move_queued;
  options.hedge.same_replica = FLAGS_same_replica;
  options.hedge.hedges_per_shard = FLAGS_hedges;
  options.hedge.canary = FLAGS_hedge_canary;
  options.hedge_budget = FLAGS_budget;
  options.unproven = FLAGS_unproven;
  options.lookups = FLAGS_lookups;
  options.shards = FLAGS_shards;
  options.replicas = FLAGS_replicas;
  options.slots = FLAGS_slots;
  options.zones = FLAGS_regions;
  options.delay_within_zone =
      std::chrono::duration_cast<berylreach::base::Duration>(
          std::chrono::duration<double, std::milli>(FLAGS_hop_ms));
  options.cancel_running = FLAGS_cancel;
  options.deadline_order = FLAGS_deadline_order;
  options.hedge_burst = FLAGS_burst;
  return options;
}

std::vector<BenchResult> RunSeeds(const BenchOptions& options) {
  std::vector<std::future<BenchResult>> runs;
  for (std::uint32_t seed = 1; seed <= FLAGS_seeds; ++seed) {
    BenchOptions seeded = options;
    seeded.seed = seed;
    runs.push_back(std::async(std::launch::async,
                              [seeded] { return Simulation(seeded).Run(); }));
  }
  std::vector<BenchResult> results;
  for (auto& run : runs) results.push_back(run.get());
  return results;
}

double Median(const std::vector<BenchResult>& results,
              const std::function<double(const BenchResult&)>& metric) {
  std::vector<double> values;
  for (const BenchResult& result : results) values.push_back(metric(result));
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

/// Runs `options` without and with stragglers and prints a line for each.
void CompareStragglers(const char* name, BenchOptions options) {
  options.stragglers = false;
  const auto without_stragglers = RunSeeds(options);
  options.stragglers = true;
  const auto with_stragglers = RunSeeds(options);
  const auto p99 = [](const BenchResult& r) { return r.LatencyQuantile(0.99); };
  const double p99_without_stragglers = Median(without_stragglers, p99);
  for (const auto* results : {&without_stragglers, &with_stragglers}) {
    const auto median = [&](auto metric) { return Median(*results, metric); };
    std::printf(
        "%3.0f%% %-8s %-10s p50 %6.1f p99 %6.1f p99.9 %6.1f ms  extra %5.2f%% "
        " whole %8.4f%%  busy %4.1f%%  ratio %.3f\n",
        options.load * 100, name,
        results == &with_stragglers ? "stragglers" : "none",
        median([](const BenchResult& r) { return r.LatencyQuantile(0.5); }),
        median(p99),
        median([](const BenchResult& r) { return r.LatencyQuantile(0.999); }),
        100 *
            median([](const BenchResult& r) { return r.ExtraCallFraction(); }),
        100 * median(
                  [](const BenchResult& r) { return r.WholeAnswerFraction(); }),
        100 * median([](const BenchResult& r) { return r.Utilization(); }),
        median(p99) / p99_without_stragglers);
  }
}

void RunAll() {
  for (const double load : {0.2, 0.5}) {
    if (FLAGS_load > 0 && FLAGS_load != load) continue;
    BenchOptions options = OptionsFromFlags(load);
    CompareStragglers("runner", options);
    if (!FLAGS_baseline) continue;
    options.method = Method::kRandomReplica;
    CompareStragglers("random", options);
  }
}

}  // namespace
}  // namespace berylreach::bench

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  berylreach::bench::RunAll();
  return 0;
}
