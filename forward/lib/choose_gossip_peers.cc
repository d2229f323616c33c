// Chooses the peers with the highest rendezvous weights.
#include "berylreach/forward/choose_gossip_peers.h"

#include <algorithm>
#include <utility>

#include "berylreach/base/hash.h"
#include "berylreach/base/rendezvous.h"

namespace berylreach::forward {

std::vector<std::string> ChooseGossipPeers(const std::string& self,
                                           std::vector<std::string> hosts,
                                           std::uint64_t update_hash,
                                           std::size_t fanout) {
  std::erase(hosts, self);
  const std::uint64_t seed =
      base::RendezvousWeight(update_hash, base::Hash64(self));
  const auto weight = [seed](const std::string& host) {
    return base::RendezvousWeight(seed, base::Hash64(host));
  };
  const std::size_t count = std::min(fanout, hosts.size());
  std::partial_sort(hosts.begin(),
                    hosts.begin() + static_cast<std::ptrdiff_t>(count),
                    hosts.end(), [&](const auto& a, const auto& b) {
                      return std::pair(weight(a), a) > std::pair(weight(b), b);
                    });
  hosts.resize(count);
  return hosts;
}

bool ChecksLeavesOf(std::uint64_t fingerprint, const std::string& self,
                    const std::vector<std::string>& hosts) {
  const auto weight = [fingerprint](const std::string& host) {
    return base::RendezvousWeight(fingerprint, base::Hash64(host));
  };
  const auto preferred = std::count_if(
      hosts.begin(), hosts.end(),
      [&](const std::string& host) { return weight(host) > weight(self); });
  return static_cast<std::size_t>(preferred) < kLeafCheckers;
}

}  // namespace berylreach::forward
