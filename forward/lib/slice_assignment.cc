// Assigns coordinators to slices and senders by rendezvous hash.
#include "berylreach/forward/slice_assignment.h"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <utility>

#include "berylreach/base/hash.h"
#include "berylreach/base/rendezvous.h"

namespace berylreach::forward {
namespace {

/// Numbers of hosts per slice that a sender keeps connections to: two
/// primaries, so that the sender can avoid the slower one, and one backup,
/// which may be a host of another slice.
constexpr std::size_t kPrimaries = 2;
constexpr std::size_t kBackups = 1;

struct Pairing {
  std::uint64_t weight = 0;
  std::size_t slice = 0;
  std::size_t coordinator = 0;
};

/// Returns all pairs of slices and coordinators, highest weight first.
std::vector<Pairing> RankPairings(const std::vector<std::string>& coordinators,
                                  std::size_t slice_count) {
  std::vector<Pairing> pairings;
  pairings.reserve(coordinators.size() * slice_count);
  for (std::size_t host = 0; host < coordinators.size(); ++host) {
    const std::uint64_t hash = base::Hash64(coordinators[host]);
    for (std::size_t slice = 0; slice < slice_count; ++slice)
      pairings.push_back(
          {base::RendezvousWeight(slice + 1, hash), slice, host});
  }
  std::sort(
      pairings.begin(), pairings.end(),
      [](const Pairing& a, const Pairing& b) { return a.weight > b.weight; });
  return pairings;
}

/// Sorts `hosts` by their weight for the sender `self`, highest first.
void SortForSender(const std::string& self, std::vector<std::string>& hosts) {
  std::sort(hosts.begin(), hosts.end(),
            [&self](const std::string& a, const std::string& b) {
              return base::RendezvousWeight(self, a) >
                     base::RendezvousWeight(self, b);
            });
}

/// Moves the first `count` elements of `from` to the end of `to`.
void MoveFirst(std::vector<std::string>& from, std::size_t count,
               std::vector<std::string>& to) {
  const auto end =
      from.begin() + static_cast<std::ptrdiff_t>(std::min(count, from.size()));
  std::move(from.begin(), end, std::back_inserter(to));
  from.erase(from.begin(), end);
}

}  // namespace

std::vector<std::vector<std::string>> AssignSlices(
    const std::vector<std::string>& coordinators, std::size_t slice_count) {
  std::vector<std::vector<std::string>> slices(slice_count);
  if (slice_count == 0) return slices;
  const std::vector<Pairing> pairings = RankPairings(coordinators, slice_count);
  std::vector<bool> assigned(coordinators.size(), false);
  // Each round raises the maximum number of hosts per slice by one.
  for (std::size_t size = 1; (size - 1) * slice_count < coordinators.size();
       ++size) {
    for (const Pairing& pairing : pairings) {
      std::vector<std::string>& hosts = slices[pairing.slice];
      if (assigned[pairing.coordinator] || hosts.size() >= size) continue;
      assigned[pairing.coordinator] = true;
      hosts.push_back(coordinators[pairing.coordinator]);
    }
  }
  return slices;
}

std::vector<SliceHosts> HostsForSender(
    const std::string& self,
    const std::vector<std::vector<std::string>>& slices) {
  std::vector<std::string> all_hosts;
  for (const auto& hosts : slices)
    all_hosts.insert(all_hosts.end(), hosts.begin(), hosts.end());
  SortForSender(self, all_hosts);
  std::vector<SliceHosts> chosen;
  chosen.reserve(slices.size());
  for (std::vector<std::string> slice_hosts : slices) {
    SortForSender(self, slice_hosts);
    std::vector<std::string> other_hosts;
    for (const std::string& host : all_hosts)
      if (std::find(slice_hosts.begin(), slice_hosts.end(), host) ==
          slice_hosts.end())
        other_hosts.push_back(host);
    SliceHosts hosts;
    MoveFirst(slice_hosts, kPrimaries, hosts.primaries);
    // Prefers other hosts of the same slice as backups, because they have
    // connections to the leaves of the slice.
    MoveFirst(slice_hosts, kBackups, hosts.backups);
    MoveFirst(other_hosts, kBackups - hosts.backups.size(), hosts.backups);
    MoveFirst(slice_hosts, slice_hosts.size(), hosts.fallbacks);
    MoveFirst(other_hosts, other_hosts.size(), hosts.fallbacks);
    chosen.push_back(std::move(hosts));
  }
  return chosen;
}

}  // namespace berylreach::forward
