// Readers of a zone and their followers.
#include "berylreach/forward/choose_feed.h"

#include <algorithm>

#include "berylreach/base/hash.h"
#include "berylreach/base/rendezvous.h"

namespace berylreach::forward {
namespace {

/// Readers of a zone, so that the loss of one leaves another.
constexpr std::size_t kReaders = 2;

/// Hosts of a zone up to which each of them reads the store.
constexpr std::size_t kLeastZone = 4;

}  // namespace

std::optional<HostEntry> ChooseFeedHost(
    const HostEntry& self, const std::vector<HostEntry>& hosts,
    const std::function<bool(const std::string&)>& failed) {
  std::vector<HostEntry> zone;
  for (const HostEntry& host : hosts)
    if (host.zone == self.zone && !host.address.empty()) zone.push_back(host);
  if (zone.size() <= kLeastZone) return std::nullopt;
  std::sort(zone.begin(), zone.end(),
            [](const HostEntry& a, const HostEntry& b) {
              if (a.cores != b.cores) return a.cores > b.cores;
              return base::Hash64(a.name) > base::Hash64(b.name);
            });
  zone.resize(kReaders);
  const auto is_self = [&self](const HostEntry& host) {
    return host.name == self.name;
  };
  if (std::any_of(zone.begin(), zone.end(), is_self)) return std::nullopt;
  // Each follower prefers one of the readers, so that they share the load.
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
