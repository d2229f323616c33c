// Ranks hosts for the shares of limits.
#include "berylreach/forward/limit_owners.h"

#include <algorithm>
#include <set>
#include <utility>

#include "berylreach/base/hash.h"
#include "berylreach/base/rendezvous.h"

namespace berylreach::forward {
namespace {

/// Number of rankings that are kept; they are computed again when needed.
constexpr std::size_t kMaxRankings = 16384;

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
  rankings_.clear();
}

const std::string& LimitOwners::OwnerOf(const std::string& limit,
                                        const std::string& region) {
  return RankingOf(limit, region).owner;
}

const std::string& LimitOwners::NextAfterSelf(const std::string& limit,
                                              const std::string& region) {
  return RankingOf(limit, region).next_after_self;
}

const LimitOwners::Ranking& LimitOwners::RankingOf(const std::string& limit,
                                                   const std::string& region) {
  const std::string key = ShareKey(limit, region);
  const auto found = rankings_.find(key);
  if (found != rankings_.end()) return found->second;
  const std::uint64_t hash = base::Hash64(key);
  const auto best = [&](bool in_region, bool with_self) {
    const Host* owner = nullptr;
    std::uint64_t highest = 0;
    for (const auto& [name, host] : hosts_) {
      if (in_region && host.region != region) continue;
      if (!with_self && name == self_) continue;
      const std::uint64_t weight = base::RendezvousWeight(hash, host.hash);
      if (owner != nullptr && weight <= highest) continue;
      owner = &host;
      highest = weight;
    }
    return owner == nullptr ? std::string() : owner->name;
  };
  Ranking ranking;
  for (const bool in_region : {true, false}) {
    if (ranking.owner.empty()) ranking.owner = best(in_region, true);
    if (ranking.next_after_self.empty())
      ranking.next_after_self = best(in_region, false);
  }
  if (rankings_.size() >= kMaxRankings) rankings_.clear();
  return rankings_.emplace(key, std::move(ranking)).first->second;
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
