// berylreach-capacity: measures the control cost of hosts without caller
// requests, the sizes of records, and the latency of wide queries by
// simulation, and sends queries to a host. Prints one table with a header line
// to standard output.
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

DEFINE_string(measure, "control", "control, records, latency, or load");
DEFINE_uint64(hosts, 6, "hosts");
DEFINE_uint64(leaves, 96, "leaves of the query service");
DEFINE_uint64(replicas, 2, "replicas of each shard");
DEFINE_uint64(seconds, 30, "virtual seconds counted");
DEFINE_double(changes, 0, "documents submitted per virtual second");
DEFINE_double(restarts, 0, "hosts killed and started per virtual minute");
DEFINE_uint64(listed, 0, "leaving nodes that the host list names");
DEFINE_double(list_changes, 0, "changes of the host list per virtual minute");
DEFINE_uint64(trials, 20000, "simulated queries of each row");
DEFINE_string(target, "", "HTTP address of the host that gets the load");
DEFINE_string(service, "order-desk", "service of the load");
DEFINE_double(rate, 10, "queries per second of the load");
DEFINE_uint64(connections, 16, "connections of the load");
DEFINE_bool(header, true, "print the header line");

namespace berylreach::capacity {
namespace {

void PrintHeader() {
  std::printf(
      "hosts\tleaves\tseconds\tchanges/s\trestarts/min\tlisted\tlist_changes/"
      "min\tepochs\tmessages/s\tbytes/s\tmost_bytes/s\tstore/s\tlist/"
      "s\tevents/s\tcpu_us/s\tresident_kb\tin_force_ms_median\tin_force_ms_"
      "most\tin_force_count\tlist_change_count");
  for (std::size_t type = 0; type < TrafficCount::kTypes; ++type)
    std::printf("\t%s_n/s\t%s_b/s", TypeName(type), TypeName(type));
  std::printf("\n");
}

/// Figures per host and virtual second; messages and bytes are those sent, and
/// as many are received. Calls to the platform are those of all hosts together.
void PrintRow(const ControlLoad& load, const ControlRun& run) {
  const TrafficCount& count = run.count();
  const double seconds = static_cast<double>(load.seconds);
  const double hosts = seconds * static_cast<double>(load.hosts);
  const auto total = count.Total();
  auto in_force = run.in_force_after();
  std::sort(in_force.begin(), in_force.end());
  const auto most =
      in_force.empty() ? std::chrono::milliseconds(0) : in_force.back();
  const auto median = in_force.empty() ? std::chrono::milliseconds(0)
                                       : in_force.at(in_force.size() / 2);
  std::printf(
      "%zu\t%zu\t%zu\t%g\t%g\t%zu\t%g\t%lu\t%.1f\t%.0f\t%.0f\t%.3f\t%."
      "3f\t%.1f\t%.1f\t%.0f\t%ld\t%ld\t%zu\t%zu",
      load.hosts, load.leaves, load.seconds, load.changes_per_second,
      load.restarts_per_minute, load.listed, load.list_changes_per_minute,
      run.epochs(), static_cast<double>(total.messages) / hosts,
      static_cast<double>(total.bytes) / hosts,
      static_cast<double>(count.MostBytesOfOneHost()) / seconds,
      static_cast<double>(count.store_calls()) / seconds,
      static_cast<double>(run.host_list_calls()) / seconds,
      static_cast<double>(count.events()) / hosts,
      static_cast<double>(count.cpu().count()) / 1e3 / hosts,
      static_cast<double>(run.resident_bytes()) / 1024 /
          static_cast<double>(load.hosts),
      median.count(), most.count(), in_force.size(), run.list_changes());
  for (const auto& sum : count.by_type())
    std::printf("\t%.3f\t%.1f", static_cast<double>(sum.messages) / hosts,
                static_cast<double>(sum.bytes) / hosts);
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
  load.listed = FLAGS_listed;
  load.list_changes_per_minute = FLAGS_list_changes;
  ControlRun run(load);
  if (!run.Start()) {
    std::cerr << "the hosts did not become ready" << std::endl;
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
  std::cerr << "unknown measurement: " << FLAGS_measure << std::endl;
  return 1;
}

}  // namespace
}  // namespace berylreach::capacity

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return berylreach::capacity::Run();
}
