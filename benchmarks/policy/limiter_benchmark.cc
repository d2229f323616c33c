// Compares ways to limit the work on a leaf, and rules for cold starts
// (design 3.1 and 3.4), with equal arrivals in virtual time.
#include <gflags/gflags.h>

#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

#include "bench_options.h"
#include "limiter_options.h"
#include "limiter_report.h"

DEFINE_string(comparison, "limits", "limits or cold");
DEFINE_string(service, "orders", "orders (order desk) or buckle (screen)");
DEFINE_uint32(queries, 20000, "measured queries of each run");
DEFINE_uint32(seeds, 3, "runs of each row, with seeds 1, 2 and so on");
DEFINE_double(load, 0, "run only this fraction of busy slots");
DEFINE_bool(one_region, false, "zones are 1 ms apart, not 20 ms");
DEFINE_bool(
    slow_overload, false,
    "a leaf with too many calls runs all of them slowly and sheds none");
DEFINE_uint32(completions_per_call, 0,
              "completions after which a cold leaf bears one more call; 0: it "
              "bears all after the first");
DEFINE_bool(cold_rule, true,
            "limits fall to 1 on evidence of a cold start (limits)");
DEFINE_uint32(zone_hop_us, 500, "latency within a zone, one way");
DEFINE_double(hedge_budget, 0.049, "hedges per first call");
DEFINE_bool(move_queued, berylreach::query::HedgePolicy{}.move_queued,
            "a hedge replaces a call that is still queued");
DEFINE_string(only, "", "run only the rows whose names contain this");
DEFINE_uint32(turn_ms, 25, "length of a turn of the rotating shares");
DEFINE_uint32(status_ms, 1000, "time between two status reads of a leaf");
// No multiple of the interval of status reads, so that the phase varies.
DEFINE_uint32(restart_ms, 5137, "time between two restarts (cold)");

namespace berylreach::bench {
namespace {

BenchOptions OptionsFromFlags(double load) {
  BenchOptions options;
  options.load = load;
  options.queries = FLAGS_queries;
  options.hedge_budget = FLAGS_hedge_budget;
  options.hedge.move_queued = FLAGS_move_queued;
  options.zones = 3;
  options.zone_is_region = !FLAGS_one_region;
  if (FLAGS_service == "buckle") {
    options.shards = 1;
    options.replicas = 4;
    options.slots = 4;
  }
  return options;
}

LimiterRow Row(const char* name, LimitScope scope,
               ColdRule rule = ColdRule::kProduct) {
  LimiterRow row{name, Method::kQueryRunner, {}};
  if (scope == LimitScope::kNobody) row.method = Method::kRandomReplica;
  row.limiter.scope = scope;
  row.limiter.cold_rule = rule;
  row.limiter.slow_overload = FLAGS_slow_overload;
  row.limiter.status_interval = std::chrono::milliseconds(FLAGS_status_ms);
  row.limiter.completions_per_call = FLAGS_completions_per_call;
  row.limiter.zone_hop = std::chrono::microseconds(FLAGS_zone_hop_us);
  row.limiter.turn = std::chrono::milliseconds(FLAGS_turn_ms);
  if (FLAGS_one_region) row.limiter.crossing_hop = std::chrono::milliseconds(1);
  return row;
}

std::vector<LimiterRow> Selected(std::vector<LimiterRow> rows) {
  std::erase_if(rows, [](const LimiterRow& row) {
    return std::string(row.name).find(FLAGS_only) == std::string::npos;
  });
  return rows;
}

void CompareLimits(double load) {
  std::vector<LimiterRow> rows = {
      Row("random replica, no limit", LimitScope::kNobody),
      Row("each host alone", LimitScope::kEachHost),
      Row("fixed shares", LimitScope::kShares),
      Row("rotating shares", LimitScope::kTurns),
      Row("one owner", LimitScope::kOneOwner)};
  for (const bool uneven : {false, true}) {
    for (LimiterRow& row : rows) {
      row.limiter.uneven = uneven;
      if (!FLAGS_cold_rule) row.limiter.cold_rule = ColdRule::kNone;
    }
    PrintLimitTable(OptionsFromFlags(load), Selected(rows), FLAGS_seeds);
  }
}

void CompareColdStarts(double load) {
  std::vector<LimiterRow> rows = {
      Row("each host, no rule", LimitScope::kEachHost, ColdRule::kNone),
      Row("owner, no rule", LimitScope::kOneOwner, ColdRule::kNone),
      Row("each host probes", LimitScope::kEachHost),
      Row("owner, 1 then product's growth", LimitScope::kOneOwner),
      Row("the same in the plain gate, owner", LimitScope::kOneOwner,
          ColdRule::kStepwise),
      Row("owner, 1 then all slots", LimitScope::kOneOwner,
          ColdRule::kAllAtOnce)};
  for (LimiterRow& row : rows)
    row.limiter.restart_interval = std::chrono::milliseconds(FLAGS_restart_ms);
  PrintColdTable(OptionsFromFlags(load), Selected(rows), FLAGS_seeds);
}

void RunAll() {
  for (const double load : {0.2, 0.5, 0.8}) {
    if (FLAGS_load > 0 && FLAGS_load != load) continue;
    if (FLAGS_comparison == "cold") {
      CompareColdStarts(load);
    } else {
      CompareLimits(load);
    }
  }
}

void PrintHeader() {
  std::puts(
      FLAGS_comparison == "cold"
          ? "| load | rule | cold starts | further starts, mean / most | most "
            "at the leaf while cold | never warm | ms until warm, median / p99 "
            "| ms until full, median / p99 | whole | p99 ms |\n"
            "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
          : "| load | arrivals | who limits | p50 / p99 / p99.9 ms | whole | "
            "calls per query | most at a leaf / slots | found all slots busy | "
            "shed | busy |\n"
            "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
}

}  // namespace
}  // namespace berylreach::bench

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  berylreach::bench::PrintHeader();
  berylreach::bench::RunAll();
  return 0;
}
