// Assigns the shares of limits to the hosts that own them.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "berylreach/base/clock.h"
#include "berylreach/forward/host_entry.h"
#include "berylreach/forward/leaf_directory.h"

namespace berylreach::forward {

/// Knows, by this host's list of hosts, which host owns the share of a limit
/// that belongs to a region: the registered host of the region with the highest
/// rendezvous weight; any host if the region has none. Not thread-safe.
class LimitOwners {
 public:
  /// The regions of `location` and `self` are fixed.
  LimitOwners(const base::Clock& clock, std::string self, Location location);

  void SetHosts(const std::vector<HostEntry>& hosts);

  const std::string& self() const { return self_; }
  std::size_t host_count() const { return hosts_.size(); }
  /// All regions; this host's own one is the first.
  const std::vector<std::string>& regions() const { return regions_; }

  /// Returns the owner of a share; empty if there is no host.
  const std::string& OwnerOf(const std::string& limit,
                             const std::string& region);
  /// Returns the other hosts that could own the share, the next owner first, at
  /// most `count` of them.
  std::vector<std::string> RankedOthers(const std::string& limit,
                                        const std::string& region,
                                        std::size_t count) const;
  /// Returns when the last host that preceded this host as the share's owner
  /// has left; the earliest time if none has within kRemovalMemory.
  base::TimePoint LastPredecessorLeft(const std::string& limit,
                                      const std::string& region) const;
  /// Returns how many registered hosts have a higher weight for the limit than
  /// this host, over all regions.
  std::size_t RankOfSelf(const std::string& limit) const;

  /// How long hosts that have left are remembered.
  static constexpr std::chrono::seconds kRemovalMemory{60};

 private:
  struct Host {
    std::string name;
    std::string region;
    std::uint64_t hash = 0;
  };
  struct RemovedHost {
    Host host;
    base::TimePoint removed_at{};
  };
  const base::Clock& clock_;
  const std::string self_;
  const std::uint64_t self_hash_;
  const Location location_;
  std::vector<std::string> regions_;
  std::map<std::string, Host> hosts_;
  std::vector<RemovedHost> removed_;
  std::unordered_map<std::string, std::string> owner_of_share_;
};

}  // namespace berylreach::forward
