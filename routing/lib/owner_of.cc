// Ownership by rendezvous hashing.
#include "berylreach/routing/owner_of.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "berylreach/base/rendezvous.h"

namespace berylreach::routing {
namespace {

using HostWithWeight = std::pair<std::uint64_t, const model::Member*>;

/// Breaks ties by name, so that all hosts agree whatever the order of their
/// member lists.
bool RanksHigher(const HostWithWeight& a, const HostWithWeight& b) {
  if (a.first != b.first) return a.first > b.first;
  return a.second->host < b.second->host;
}

const model::Member* HighestRanked(const std::vector<model::Member>& members,
                                   const model::LeafName& leaf,
                                   const model::ZoneName* zone) {
  std::optional<HostWithWeight> best;
  for (const model::Member& member : members) {
    if (zone != nullptr && member.zone != *zone) continue;
    const HostWithWeight candidate{
        base::RendezvousWeight(leaf.value, member.host.value), &member};
    if (!best || RanksHigher(candidate, *best)) best = candidate;
  }
  return best ? best->second : nullptr;
}

}  // namespace

std::optional<model::HostName> OwnerOf(
    const model::Environment& environment,
    const std::vector<model::Member>& members, const model::LeafName& leaf) {
  const model::LeafWithService found = model::FindLeaf(environment, leaf);
  if (found.leaf == nullptr) return std::nullopt;
  const model::Member* owner = HighestRanked(members, leaf, &found.leaf->zone);
  if (owner == nullptr) owner = HighestRanked(members, leaf, nullptr);
  if (owner == nullptr) return std::nullopt;
  return owner->host;
}

}  // namespace berylreach::routing
