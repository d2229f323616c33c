// Ranks hosts by cores, leaves in their zone and hash of their name.
#include "berylreach/forward/coordinators.h"

#include <algorithm>
#include <cstdint>
#include <tuple>

#include "berylreach/base/hash.h"

namespace berylreach::forward {
namespace {

/// Fraction of a region's cores that its coordinators make up in a large fleet.
constexpr double kCoordinatorShare = 0.25;
/// Minimum number of coordinators of a region, so that one remains if another
/// is lost.
constexpr std::size_t kMinCoordinators = 2;

struct Candidate {
  double cores = 0;
  /// Whether the host's zone has leaves. Their number is not used, because the
  /// order would then change with each leaf.
  bool has_local_leaves = false;
  /// Breaks ties between hosts of equal rank.
  std::uint64_t hash = 0;
  const std::string* name = nullptr;
};

std::vector<Candidate> Candidates(
    const std::vector<HostEntry>& hosts,
    const std::unordered_map<std::string, std::size_t>& leaves_by_zone) {
  std::vector<Candidate> candidates;
  candidates.reserve(hosts.size());
  for (const HostEntry& host : hosts) {
    candidates.push_back({host.cores, leaves_by_zone.contains(host.zone),
                          base::Hash64(host.name), &host.name});
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& a, const Candidate& b) {
              return std::tie(a.cores, a.has_local_leaves, a.hash) >
                     std::tie(b.cores, b.has_local_leaves, b.hash);
            });
  return candidates;
}

}  // namespace

std::vector<std::string> ChooseCoordinators(
    const std::vector<HostEntry>& hosts,
    const std::unordered_map<std::string, std::size_t>& leaves_by_zone) {
  double cores = 0;
  for (const HostEntry& host : hosts) cores += host.cores;
  std::vector<std::string> names;
  double selected_cores = 0;
  for (const Candidate& candidate : Candidates(hosts, leaves_by_zone)) {
    if (names.size() >= kMinCoordinators &&
        selected_cores >= kCoordinatorShare * cores)
      break;
    names.push_back(*candidate.name);
    selected_cores += candidate.cores;
  }
  return names;
}

}  // namespace berylreach::forward
