// Measures order desk queries in the 5 s after an owner was killed or frozen,
// in virtual time.
#include <gflags/gflags.h>

#include <algorithm>
#include <chrono>
#include <iomanip>
#include <iostream>
#include <string>
#include <vector>

#include "berylreach/testing/deployment.h"
#include "berylreach/testing/world.h"

DEFINE_int32(seeds, 4, "runs of each fault");
DEFINE_int32(interval_ms, 20, "time between two queries of all callers");

namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

using berylreach::testing::World;
namespace model = berylreach::model;

constexpr milliseconds kDeadline{800};
constexpr seconds kWindow{5};
constexpr std::uint32_t kShards = 20;

enum class Fault { kNone, kKill, kFreeze };

// The order desk of section 1.1 of docs/design.md: 20 shards of 2 leaves with 2
// slots.
model::Environment OrderDesk() {
  model::Environment environment = berylreach::testing::SmallEnvironment();
  model::Service& desk = environment.services.back();
  const model::Leaf pattern = desk.leaves.front();
  desk.shards = kShards;
  desk.leaves.clear();
  for (std::uint32_t i = 0; i < 2 * kShards; ++i) {
    model::Leaf leaf = pattern;
    leaf.name.value = "order-desk-" + std::to_string(100 + i);
    leaf.address = "127.0.0.1:" + std::to_string(30000 + i);
    // The two replicas of a shard are in different zones.
    leaf.zone = environment.zones[(i / 2 + i % 2) % 3].name;
    desk.leaves.push_back(leaf);
  }
  return environment;
}

struct Sample {
  std::vector<microseconds> latencies;
  int whole = 0;
  int partial = 0;
  int refused = 0;
  int unanswered = 0;
};

void Count(const berylreach::testing::CallerRecord& record, Sample& sample) {
  if (!record.reply) {
    ++sample.unanswered;
    return;
  }
  sample.latencies.push_back(
      duration_cast<microseconds>(record.replied_at - record.asked_at));
  const auto* answer = std::get_if<model::Answer>(&*record.reply);
  if (answer == nullptr) {
    ++sample.refused;
  } else if (answer->coverage.missing.empty()) {
    ++sample.whole;
  } else {
    ++sample.partial;
  }
}

class Load {
 public:
  Load(World& world, std::string victim)
      : world_(world), victim_(std::move(victim)) {}

  void Run(berylreach::base::Duration span) {
    const auto end = world_.Now() + span;
    while (world_.Now() < end) {
      Ask();
      world_.RunFor(milliseconds(FLAGS_interval_ms));
    }
  }

 private:
  // The balancer has taken the victim out: its own requests end with it.
  void Ask() {
    const auto& hosts = berylreach::testing::SixHosts();
    const std::string& host = hosts[next_++ % hosts.size()];
    if (host == victim_) return;
    const auto payload = "\"batch " + std::to_string(next_ % 20) + "\"";
    world_.Ask(host, berylreach::testing::Query(payload), kDeadline);
  }

  World& world_;
  std::string victim_;
  std::size_t next_ = 0;
};

void RunOne(Fault fault, int seed, Sample& sample) {
  World world(OrderDesk(), seed);
  if (!berylreach::testing::StartSixHosts(world)) {
    std::cerr << "hosts did not become ready\n";
    std::exit(1);
  }
  const auto& hosts = berylreach::testing::SixHosts();
  const std::string& victim = hosts[seed % hosts.size()];
  Load load(world, victim);
  load.Run(seconds(10));
  const std::size_t first = world.records().size();
  if (fault == Fault::kKill) world.KillHost(victim);
  if (fault == Fault::kFreeze) world.FreezeHost(victim);
  load.Run(kWindow);
  const std::size_t last = world.records().size();
  world.RunFor(seconds(2));
  for (std::size_t i = first; i < last; ++i) Count(world.records()[i], sample);
}

double Milliseconds(const Sample& sample, double quantile) {
  auto sorted = sample.latencies;
  std::sort(sorted.begin(), sorted.end());
  if (sorted.empty()) return 0;
  const auto rank =
      static_cast<std::size_t>(quantile * static_cast<double>(sorted.size()));
  return static_cast<double>(
             sorted[std::min(rank, sorted.size() - 1)].count()) /
         1000;
}

void Report(const std::string& name, const Sample& sample) {
  const int all =
      sample.whole + sample.partial + sample.refused + sample.unanswered;
  std::cout << std::left << std::setw(8) << name << std::right << std::fixed
            << std::setprecision(2) << std::setw(7) << all << std::setw(9)
            << 100.0 * sample.whole / all << std::setw(9) << sample.partial
            << std::setw(9) << sample.refused << std::setw(12)
            << sample.unanswered << std::setw(9) << Milliseconds(sample, 0.5)
            << std::setw(9) << Milliseconds(sample, 0.99) << "\n";
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
    Sample sample;
    for (int seed = 1; seed <= FLAGS_seeds; ++seed) RunOne(fault, seed, sample);
    Report(name, sample);
  }
  return 0;
}
