// Ranks arbiters, and counts the leaves of versions.
#include "berylreach/forward/shift_actions.h"

#include <algorithm>

#include "berylreach/base/rendezvous.h"

namespace berylreach::forward {

std::vector<std::string> RankArbiters(const std::string& service,
                                      std::vector<std::string> hosts) {
  std::sort(hosts.begin(), hosts.end(),
            [&service](const std::string& a, const std::string& b) {
              const auto weight_a = base::RendezvousWeight(service, a);
              const auto weight_b = base::RendezvousWeight(service, b);
              return weight_a != weight_b ? weight_a > weight_b : a < b;
            });
  return hosts;
}

std::map<std::string, VersionLeaves> CountVersions(
    const LeafDirectory& directory, const std::string& service,
    base::TimePoint now) {
  std::map<std::string, VersionLeaves> leaves;
  directory.ForEachUsable(
      service, [&](const std::shared_ptr<LeafRecord>& leaf) {
        VersionLeaves& version = leaves[leaf->entry().version];
        ++version.listed;
        if (!leaf->IsCold(now)) ++version.warm;
      });
  return leaves;
}

}  // namespace berylreach::forward
