// Compares policies that choose leaves, under the same load and disturbances.
#include <gflags/gflags.h>

#include <cstdio>
#include <sstream>

#include "choice_simulation.h"

DEFINE_string(hosts, "6,70,200", "numbers of hosts, separated by commas");
DEFINE_uint64(owners, 0, "hosts that call each service; 0: all");
DEFINE_uint64(services, 36, "number of services, each with three leaves");
DEFINE_double(load, 0.15, "share of the slots that is used");
DEFINE_uint64(seeds, 3, "number of runs, whose results are averaged");

namespace berylreach::bench {
namespace {

ChoiceResult Average(const ChoiceOptions& base, const std::string& policy) {
  ChoiceResult sum;
  sum.seconds_to_avoid = 0;
  sum.seconds_to_return = 0;
  sum.phases.resize(ChoiceSimulation::Phases().size());
  const auto seeds = static_cast<double>(FLAGS_seeds);
  const auto never = [](double seconds) { return seconds < 0 ? 20 : seconds; };
  for (std::uint64_t seed = 1; seed <= FLAGS_seeds; ++seed) {
    ChoiceOptions options = base;
    options.seed = seed;
    const ChoiceResult run = ChoiceSimulation(options, policy).Run();
    sum.seconds_to_avoid += never(run.seconds_to_avoid) / seeds;
    sum.seconds_to_return += never(run.seconds_to_return) / seeds;
    sum.samples_per_second = run.samples_per_second;
    for (std::size_t i = 0; i < sum.phases.size(); ++i) {
      sum.phases[i].p50_ms += run.phases[i].p50_ms / seeds;
      sum.phases[i].p99_ms += run.phases[i].p99_ms / seeds;
      sum.phases[i].late_share += run.phases[i].late_share / seeds;
      sum.phases[i].slow_leaf_share += run.phases[i].slow_leaf_share / seeds;
    }
  }
  return sum;
}

void Compare(std::size_t hosts) {
  ChoiceOptions options;
  options.deployment.hosts = hosts;
  options.deployment.services = FLAGS_services;
  options.owners = FLAGS_owners;
  options.load = FLAGS_load;
  std::printf("hosts %zu, owners %zu, load %.2f\n", hosts, options.owners,
              options.load);
  std::printf("%-16s %8s %6s %6s", "policy", "samples", "avoid", "back");
  for (const ChoicePhase& phase : ChoiceSimulation::Phases())
    std::printf(" | %-22s", phase.name.c_str());
  std::printf("\n");
  for (const std::string& policy : PolicyNames()) {
    const ChoiceResult result = Average(options, policy);
    std::printf("%-16s %8.2f %6.1f %6.1f", policy.c_str(),
                result.samples_per_second, result.seconds_to_avoid,
                result.seconds_to_return);
    for (const PhaseResult& phase : result.phases)
      std::printf(" | %5.1f %6.1f %4.1f%% %2.0f%%", phase.p50_ms, phase.p99_ms,
                  100 * phase.late_share, 100 * phase.slow_leaf_share);
    std::printf("\n");
    std::fflush(stdout);
  }
}

}  // namespace
}  // namespace berylreach::bench

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::stringstream list(FLAGS_hosts);
  std::string hosts;
  while (std::getline(list, hosts, ','))
    berylreach::bench::Compare(std::stoul(hosts));
  return 0;
}
