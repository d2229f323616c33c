// Measures queries to the order desk in the 5 s after a host, the owner of some
// of its leaves, was killed or frozen, in virtual time.
#include <gflags/gflags.h>

#include <algorithm>
#include <chrono>
#include <iomanip>
#include <iostream>
#include <string>
#include <vector>

#include "berylreach/testing/deployment.h"
#include "berylreach/testing/world.h"

DEFINE_int32(seeds, 4, "runs per fault, with the seeds 1, 2 and so on");
DEFINE_int32(interval_ms, 20,
             "time between two queries, over all callers, in milliseconds");

namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

using berylreach::testing::World;
namespace model = berylreach::model;

constexpr milliseconds kDeadline{800};
/// Time after the fault during which queries are measured.
constexpr seconds kMeasuredTime{5};
constexpr std::uint32_t kShards = 20;

enum class Fault { kNone, kKill, kFreeze };

/// Returns an environment with the order desk of section 1.1 of docs/design.md:
/// 20 shards of 2 leaves with 2 slots.
model::Environment OrderDesk() {
  model::Environment environment = berylreach::testing::SmallEnvironment();
  model::Service& desk = environment.services.back();
  const model::Leaf leaf_template = desk.leaves.front();
  desk.shards = kShards;
  desk.leaves.clear();
  for (std::uint32_t i = 0; i < 2 * kShards; ++i) {
    model::Leaf leaf = leaf_template;
    leaf.name.value = "order-desk-" + std::to_string(100 + i);
    leaf.address = "127.0.0.1:" + std::to_string(30000 + i);
    // The two replicas of a shard are in different zones.
    leaf.zone = environment.zones[(i / 2 + i % 2) % 3].name;
    desk.leaves.push_back(leaf);
  }
  return environment;
}

/// Results of the measured queries of all runs of a fault.
struct QueryStatistics {
  std::vector<microseconds> latencies;
  int whole = 0;
  int partial = 0;
  int refused = 0;
  int unanswered = 0;
};

void Record(const berylreach::testing::CallerRecord& record,
            QueryStatistics& statistics) {
  if (!record.reply) {
    ++statistics.unanswered;
    return;
  }
  statistics.latencies.push_back(
      duration_cast<microseconds>(record.replied_at - record.sent_at));
  const auto* answer = std::get_if<model::Answer>(&*record.reply);
  if (answer == nullptr) {
    ++statistics.refused;
  } else if (answer->coverage.missing.empty()) {
    ++statistics.whole;
  } else {
    ++statistics.partial;
  }
}

/// Sends queries to the hosts in turn, except to the host that fails.
class LoadGenerator {
 public:
  LoadGenerator(World& world, std::string failing_host)
      : world_(world), failing_host_(std::move(failing_host)) {}

  void Run(berylreach::base::Duration span) {
    const auto end = world_.Now() + span;
    while (world_.Now() < end) {
      SendNextQuery();
      world_.RunFor(milliseconds(FLAGS_interval_ms));
    }
  }

 private:
  // The failing host gets no queries, even before the fault, as if the load
  // balancer had removed it: the queries that it had received would be lost
  // with it.
  void SendNextQuery() {
    const auto& hosts = berylreach::testing::SixHosts();
    const std::string& host = hosts[next_++ % hosts.size()];
    if (host == failing_host_) return;
    const auto payload = "\"batch " + std::to_string(next_ % 20) + "\"";
    world_.SendRequest(host, berylreach::testing::Query(payload), kDeadline);
  }

  World& world_;
  std::string failing_host_;
  std::size_t next_ = 0;
};

/// Runs `fault` once and adds the queries after it to `statistics`.
void RunFault(Fault fault, int seed, QueryStatistics& statistics) {
  World world(OrderDesk(), seed);
  if (!berylreach::testing::StartSixHosts(world)) {
    std::cerr << "the hosts did not become ready\n";
    std::exit(1);
  }
  const auto& hosts = berylreach::testing::SixHosts();
  const std::string& failing_host = hosts[seed % hosts.size()];
  LoadGenerator load(world, failing_host);
  load.Run(seconds(10));
  const std::size_t begin = world.records().size();
  if (fault == Fault::kKill) world.KillHost(failing_host);
  if (fault == Fault::kFreeze) world.FreezeHost(failing_host);
  load.Run(kMeasuredTime);
  const std::size_t end = world.records().size();
  world.RunFor(seconds(2));
  for (std::size_t i = begin; i < end; ++i)
    Record(world.records()[i], statistics);
}

double LatencyMs(const QueryStatistics& statistics, double quantile) {
  auto sorted = statistics.latencies;
  std::sort(sorted.begin(), sorted.end());
  if (sorted.empty()) return 0;
  const auto rank =
      static_cast<std::size_t>(quantile * static_cast<double>(sorted.size()));
  return static_cast<double>(
             sorted[std::min(rank, sorted.size() - 1)].count()) /
         1000;
}

void PrintRow(const std::string& name, const QueryStatistics& statistics) {
  const int total = statistics.whole + statistics.partial + statistics.refused +
                    statistics.unanswered;
  std::cout << std::left << std::setw(8) << name << std::right << std::fixed
            << std::setprecision(2) << std::setw(7) << total << std::setw(9)
            << 100.0 * statistics.whole / total << std::setw(9)
            << statistics.partial << std::setw(9) << statistics.refused
            << std::setw(12) << statistics.unanswered << std::setw(9)
            << LatencyMs(statistics, 0.5) << std::setw(9)
            << LatencyMs(statistics, 0.99) << "\n";
}

}  // namespace

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::cout << "fault   queries  whole %  partial  refused  unanswered"
               "   p50 ms   p99 ms\n";
  const std::pair<const char*, Fault> faults[] = {{"none", Fault::kNone},
                                                  {"kill", Fault::kKill},
                                                  {"freeze", Fault::kFreeze}};
  for (const auto& [name, fault] : faults) {
    QueryStatistics statistics;
    for (int seed = 1; seed <= FLAGS_seeds; ++seed)
      RunFault(fault, seed, statistics);
    PrintRow(name, statistics);
  }
  return 0;
}
