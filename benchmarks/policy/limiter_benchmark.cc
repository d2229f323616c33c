// Compares ways to limit the calls to a leaf, and rules for cold starts
// (sections 3.1 and 3.4 of docs/design.md), in virtual time. All rows have the
// same arrivals.
#include <gflags/gflags.h>

#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

#include "bench_options.h"
#include "limiter_options.h"
#include "limiter_report.h"

DEFINE_string(comparison, "limits",
              "what to compare: limits or cold (rules for cold starts)");
DEFINE_string(
    service, "orders",
    "service to simulate: orders (order desk) or buckle (buckle screen)");
DEFINE_uint32(queries, 20000, "measured queries per run");
DEFINE_uint32(seeds, 3, "runs per row, with the seeds 1, 2 and so on");
DEFINE_double(load, 0,
              "run only this load, the fraction of busy slots: 0.2, 0.5 or "
              "0.8; 0: run all");
DEFINE_bool(one_region, false,
            "one-way network latency between zones is 1 ms instead of 20 ms");
DEFINE_bool(slow_overload, false,
            "a leaf with more calls than slots runs all of them more slowly "
            "and sheds none");
DEFINE_uint32(completions_per_call, 0,
              "completions after which a cold leaf can handle one more call; "
              "0: it can fill all its slots after the first completion");
DEFINE_bool(cold_rule, true,
            "evidence of a cold start resets limits to 1 (comparison limits)");
DEFINE_uint32(zone_hop_us, 500,
              "one-way network latency within a zone in microseconds");
DEFINE_double(hedge_budget, 0.049, "hedges per first call");
DEFINE_bool(move_queued, berylreach::query::HedgePolicy{}.move_queued,
            "a hedge replaces a call that is still queued");
DEFINE_string(only, "", "run only the rows whose name contains this text");
DEFINE_uint32(turn_ms, 25, "duration of a turn of the rotating shares");
DEFINE_uint32(status_ms, 1000, "time between two status reads of a leaf");
// Not a multiple of the default status interval, so that the time from a
// restart to the next status read varies.
DEFINE_uint32(restart_ms, 5137, "time between two restarts (comparison cold)");

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

LimiterRow MakeRow(const char* name, LimitScope scope,
                   ColdStartRule rule = ColdStartRule::kLeafGate) {
  LimiterRow row{name, Method::kQueryRunner, {}};
  if (scope == LimitScope::kUnlimited) row.method = Method::kRandomReplica;
  row.limiter.scope = scope;
  row.limiter.cold_start_rule = rule;
  row.limiter.slow_overload = FLAGS_slow_overload;
  row.limiter.status_interval = std::chrono::milliseconds(FLAGS_status_ms);
  row.limiter.completions_per_call = FLAGS_completions_per_call;
  row.limiter.delay_within_zone = std::chrono::microseconds(FLAGS_zone_hop_us);
  row.limiter.turn_duration = std::chrono::milliseconds(FLAGS_turn_ms);
  if (FLAGS_one_region)
    row.limiter.delay_between_zones = std::chrono::milliseconds(1);
  return row;
}

std::vector<LimiterRow> SelectRows(std::vector<LimiterRow> rows) {
  std::erase_if(rows, [](const LimiterRow& row) {
    return std::string(row.name).find(FLAGS_only) == std::string::npos;
  });
  return rows;
}

void CompareLimits(double load) {
  std::vector<LimiterRow> rows = {
      MakeRow("random replica, no limit", LimitScope::kUnlimited),
      MakeRow("each host alone", LimitScope::kEachHost),
      MakeRow("fixed shares", LimitScope::kFixedShares),
      MakeRow("rotating shares", LimitScope::kRotatingShares),
      MakeRow("one owner", LimitScope::kOwner)};
  for (const bool uneven : {false, true}) {
    for (LimiterRow& row : rows) {
      row.limiter.uneven = uneven;
      if (!FLAGS_cold_rule) row.limiter.cold_start_rule = ColdStartRule::kNone;
    }
    PrintLimitTable(OptionsFromFlags(load), SelectRows(rows), FLAGS_seeds);
  }
}

void CompareColdStarts(double load) {
  std::vector<LimiterRow> rows = {
      MakeRow("each host, no rule", LimitScope::kEachHost,
              ColdStartRule::kNone),
      MakeRow("owner, no rule", LimitScope::kOwner, ColdStartRule::kNone),
      MakeRow("each host probes", LimitScope::kEachHost),
      MakeRow("owner, 1 then product's growth", LimitScope::kOwner),
      MakeRow("the same in the plain gate, owner", LimitScope::kOwner,
              ColdStartRule::kStepwise),
      MakeRow("owner, 1 then all slots", LimitScope::kOwner,
              ColdStartRule::kAllAtOnce)};
  for (LimiterRow& row : rows)
    row.limiter.restart_interval = std::chrono::milliseconds(FLAGS_restart_ms);
  PrintColdStartTable(OptionsFromFlags(load), SelectRows(rows), FLAGS_seeds);
}

void RunComparison() {
  for (const double load : {0.2, 0.5, 0.8}) {
    if (FLAGS_load > 0 && FLAGS_load != load) continue;
    if (FLAGS_comparison == "cold") {
      CompareColdStarts(load);
    } else {
      CompareLimits(load);
    }
  }
}

void PrintTableHeader() {
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
  berylreach::bench::PrintTableHeader();
  berylreach::bench::RunComparison();
  return 0;
}
