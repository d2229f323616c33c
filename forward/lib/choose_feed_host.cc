// Chooses the hosts of a zone that read the store by their cores, and one of
// them for each follower.
#include "berylreach/forward/choose_feed_host.h"

#include <algorithm>

#include "berylreach/base/hash.h"
#include "berylreach/base/rendezvous.h"

namespace berylreach::forward {
namespace {

/// Number of hosts of a large zone that read the store: two, so that one
/// remains if the other is lost.
constexpr std::size_t kReadersPerZone = 2;

/// In a zone of at most this many hosts, each host reads the store itself.
constexpr std::size_t kMaxHostsWithoutFeed = 4;

}  // namespace

std::optional<HostEntry> ChooseFeedHost(
    const HostEntry& self, const std::vector<HostEntry>& hosts,
    const std::function<bool(const std::string&)>& failed) {
  std::vector<HostEntry> zone;
  for (const HostEntry& host : hosts)
    if (host.zone == self.zone && !host.address.empty()) zone.push_back(host);
  if (zone.size() <= kMaxHostsWithoutFeed) return std::nullopt;
  std::sort(zone.begin(), zone.end(),
            [](const HostEntry& a, const HostEntry& b) {
              if (a.cores != b.cores) return a.cores > b.cores;
              return base::Hash64(a.name) > base::Hash64(b.name);
            });
  zone.resize(kReadersPerZone);
  const auto is_self = [&self](const HostEntry& host) {
    return host.name == self.name;
  };
  if (std::any_of(zone.begin(), zone.end(), is_self)) return std::nullopt;
  // Each follower prefers one reader by rendezvous hash, which spreads the
  // load.
  std::sort(zone.begin(), zone.end(),
            [&self](const HostEntry& a, const HostEntry& b) {
              return base::RendezvousWeight(self.name, a.name) >
                     base::RendezvousWeight(self.name, b.name);
            });
  for (const HostEntry& host : zone)
    if (!failed(host.name)) return host;
  return std::nullopt;
}

}  // namespace berylreach::forward
