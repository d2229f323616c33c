// berylreach-capacity: measures the control cost of hosts that get no caller
// requests, measures the sizes of records, simulates the latency of queries
// that go to many shards, or sends queries to a host. Prints the results to
// standard output: a table with a header line, or a JSON object for the load.
#include <gflags/gflags.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <iostream>

#include "control_load.h"
#include "control_run.h"
#include "latency_table.h"
#include "query_load.h"
#include "record_sizes.h"

DEFINE_string(measure, "control",
              "what to measure: control, records, latency, or load");
DEFINE_uint64(hosts, 6, "number of hosts");
DEFINE_uint64(leaves, 96, "number of leaves of the query service");
DEFINE_uint64(replicas, 2, "number of replicas of each shard");
DEFINE_uint64(
    seconds, 30,
    "length of the measurement in virtual seconds; of the load, in seconds");
DEFINE_double(changes, 0,
              "configuration documents submitted per virtual second");
DEFINE_double(restarts, 0, "hosts killed and restarted per virtual minute");
DEFINE_uint64(listed, 0, "number of leaving nodes in the host list");
DEFINE_double(list_changes, 0, "changes of the host list per virtual minute");
DEFINE_uint64(trials, 20000,
              "number of simulated queries for each row of the latency table");
DEFINE_string(target, "",
              "HTTP address (IP:port) of the host to which the load is sent");
DEFINE_string(service, "order-desk", "service to which the load is sent");
DEFINE_double(rate, 10, "queries per second of the load");
DEFINE_uint64(connections, 16, "number of connections of the load");
DEFINE_bool(header, true, "print the header line");

namespace berylreach::capacity {
namespace {

void PrintHeader() {
  std::printf(
      "hosts\tleaves\tseconds\tchanges/s\trestarts/min\tlisted\tlist_changes/"
      "min\tepochs\tmessages/s\tbytes/s\tmost_bytes/s\tstore/s\tlist/"
      "s\tevents/s\tcpu_us/s\tresident_kb\tin_force_ms_median\tin_force_ms_"
      "most\tin_force_count\tlist_change_count");
  for (std::size_t type = 0; type < TrafficCounter::kTypes; ++type)
    std::printf("\t%s_n/s\t%s_b/s", TypeName(type), TypeName(type));
  std::printf("\n");
}

/// Prints rates per host and virtual second. Messages and bytes are counted
/// once, at the sender. Calls to the platform are summed over all hosts.
void PrintRow(const ControlLoad& load, const ControlRun& run) {
  const TrafficCounter& traffic = run.traffic();
  const double seconds = static_cast<double>(load.seconds);
  const double host_seconds = seconds * static_cast<double>(load.hosts);
  const auto total = traffic.Total();
  auto sorted_times = run.adoption_times();
  std::sort(sorted_times.begin(), sorted_times.end());
  const auto max_time =
      sorted_times.empty() ? std::chrono::milliseconds(0) : sorted_times.back();
  const auto median = sorted_times.empty()
                          ? std::chrono::milliseconds(0)
                          : sorted_times.at(sorted_times.size() / 2);
  std::printf(
      "%zu\t%zu\t%zu\t%g\t%g\t%zu\t%g\t%lu\t%.1f\t%.0f\t%.0f\t%.3f\t%."
      "3f\t%.1f\t%.1f\t%.0f\t%ld\t%ld\t%zu\t%zu",
      load.hosts, load.leaves, load.seconds, load.changes_per_second,
      load.restarts_per_minute, load.leaving_nodes,
      load.list_changes_per_minute, run.epochs(),
      static_cast<double>(total.messages) / host_seconds,
      static_cast<double>(total.bytes) / host_seconds,
      static_cast<double>(traffic.MaxBytesOfOneHost()) / seconds,
      static_cast<double>(traffic.store_calls()) / seconds,
      static_cast<double>(run.host_list_calls()) / seconds,
      static_cast<double>(traffic.events()) / host_seconds,
      static_cast<double>(traffic.cpu().count()) / 1e3 / host_seconds,
      static_cast<double>(run.resident_bytes()) / 1024 /
          static_cast<double>(load.hosts),
      median.count(), max_time.count(), sorted_times.size(),
      run.list_changes());
  for (const auto& sum : traffic.by_type())
    std::printf("\t%.3f\t%.1f",
                static_cast<double>(sum.messages) / host_seconds,
                static_cast<double>(sum.bytes) / host_seconds);
  std::printf("\n");
}

int MeasureControl() {
  ControlLoad load;
  load.hosts = FLAGS_hosts;
  load.leaves = FLAGS_leaves;
  load.replicas = FLAGS_replicas;
  load.seconds = FLAGS_seconds;
  load.changes_per_second = FLAGS_changes;
  load.restarts_per_minute = FLAGS_restarts;
  load.leaving_nodes = FLAGS_listed;
  load.list_changes_per_minute = FLAGS_list_changes;
  ControlRun run(load);
  if (!run.Start()) {
    std::cerr << "berylreach-capacity: not all hosts became ready in time"
              << std::endl;
    return 1;
  }
  run.Measure();
  if (FLAGS_header) PrintHeader();
  PrintRow(load, run);
  return 0;
}

int SendLoad() {
  QueryLoad load;
  load.target = FLAGS_target;
  load.service = FLAGS_service;
  load.per_second = FLAGS_rate;
  load.seconds = FLAGS_seconds;
  load.connections = FLAGS_connections;
  return SendQueries(load);
}

int Run() {
  if (FLAGS_measure == "control") return MeasureControl();
  if (FLAGS_measure == "records") return MeasureRecords();
  if (FLAGS_measure == "latency") return SimulateLatency(FLAGS_trials);
  if (FLAGS_measure == "load") return SendLoad();
  std::cerr << "berylreach-capacity: unknown value of --measure: "
            << FLAGS_measure << std::endl;
  return 1;
}

}  // namespace
}  // namespace berylreach::capacity

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return berylreach::capacity::Run();
}
