// Ranks hosts for the shares of limits.
#include "berylreach/forward/limit_owners.h"

#include <algorithm>
#include <functional>
#include <set>
#include <utility>

#include "berylreach/base/hash.h"
#include "berylreach/base/rendezvous.h"

namespace berylreach::forward {
namespace {

/// Number of owners that are kept; they are computed again when needed.
constexpr std::size_t kMaxOwners = 16384;

std::string ShareKey(const std::string& limit, const std::string& region) {
  std::string key = region;
  key.push_back('\0');
  return key.append(limit);
}

}  // namespace

LimitOwners::LimitOwners(const base::Clock& clock, std::string self,
                         Location location)
    : clock_(clock),
      self_(std::move(self)),
      self_hash_(base::Hash64(self_)),
      location_(std::move(location)) {
  std::set<std::string> others;
  for (const auto& [zone, region] : location_.region_of_zone)
    if (region != location_.region) others.insert(region);
  regions_.push_back(location_.region);
  regions_.insert(regions_.end(), others.begin(), others.end());
}

void LimitOwners::SetHosts(const std::vector<HostEntry>& hosts) {
  const base::TimePoint now = clock_.Now();
  std::map<std::string, Host> listed;
  for (const HostEntry& host : hosts)
    listed[host.name] = {host.name, location_.RegionOf(host.zone),
                         base::Hash64(host.name)};
  std::erase_if(removed_, [&](const RemovedHost& removed) {
    return now - removed.removed_at > kRemovalMemory;
  });
  for (auto& [name, host] : hosts_)
    if (!listed.contains(name)) removed_.push_back({std::move(host), now});
  hosts_ = std::move(listed);
  owner_of_share_.clear();
}

const std::string& LimitOwners::OwnerOf(const std::string& limit,
                                        const std::string& region) {
  const std::string key = ShareKey(limit, region);
  const auto found = owner_of_share_.find(key);
  if (found != owner_of_share_.end()) return found->second;
  const std::uint64_t hash = base::Hash64(key);
  const Host* owner = nullptr;
  for (const bool in_region : {true, false}) {
    if (owner != nullptr) break;
    std::uint64_t highest = 0;
    for (const auto& [name, host] : hosts_) {
      if (in_region && host.region != region) continue;
      const std::uint64_t weight = base::RendezvousWeight(hash, host.hash);
      if (owner != nullptr && weight <= highest) continue;
      owner = &host;
      highest = weight;
    }
  }
  if (owner_of_share_.size() >= kMaxOwners) owner_of_share_.clear();
  return owner_of_share_
      .emplace(key, owner == nullptr ? std::string() : owner->name)
      .first->second;
}

std::vector<std::string> LimitOwners::RankedOthers(const std::string& limit,
                                                   const std::string& region,
                                                   std::size_t count) const {
  const std::uint64_t hash = base::Hash64(ShareKey(limit, region));
  std::vector<std::pair<std::uint64_t, const Host*>> ranked;
  for (const bool in_region : {true, false}) {
    if (!ranked.empty()) break;
    for (const auto& [name, host] : hosts_)
      if (name != self_ && (!in_region || host.region == region))
        ranked.emplace_back(base::RendezvousWeight(hash, host.hash), &host);
  }
  std::sort(ranked.begin(), ranked.end(), std::greater<>());
  std::vector<std::string> names;
  for (const auto& [weight, host] : ranked) {
    if (names.size() == count) break;
    names.push_back(host->name);
  }
  return names;
}

base::TimePoint LimitOwners::LastPredecessorLeft(
    const std::string& limit, const std::string& region) const {
  const std::uint64_t hash = base::Hash64(ShareKey(limit, region));
  const std::uint64_t own = base::RendezvousWeight(hash, self_hash_);
  const bool own_region = region == location_.region;
  base::TimePoint last{};
  for (const RemovedHost& removed : removed_) {
    // Any host of a foreign region precedes this host.
    const bool preceded =
        own_region ? removed.host.region == region &&
                         base::RendezvousWeight(hash, removed.host.hash) > own
                   : removed.host.region == region ||
                         base::RendezvousWeight(hash, removed.host.hash) > own;
    if (preceded) last = std::max(last, removed.removed_at);
  }
  return last;
}

std::size_t LimitOwners::RankOfSelf(const std::string& limit) const {
  const std::uint64_t hash = base::Hash64(limit);
  const std::uint64_t own = base::RendezvousWeight(hash, self_hash_);
  return static_cast<std::size_t>(
      std::count_if(hosts_.begin(), hosts_.end(), [&](const auto& entry) {
        return base::RendezvousWeight(hash, entry.second.hash) > own;
      }));
}

}  // namespace berylreach::forward
