// Ownership by rendezvous hashing.
#include "berylreach/routing/owner_of.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "berylreach/base/rendezvous.h"

namespace berylreach::routing {
namespace {

using WeightedHost = std::pair<std::uint64_t, const model::Member*>;

// Equal weights are decided by name, so that all hosts agree whatever the order
// of their member lists.
bool Beats(const WeightedHost& a, const WeightedHost& b) {
  if (a.first != b.first) return a.first > b.first;
  return a.second->host < b.second->host;
}

const model::Member* Winner(const std::vector<model::Member>& members,
                            const model::LeafName& leaf,
                            const model::ZoneName* zone) {
  std::optional<WeightedHost> best;
  for (const model::Member& member : members) {
    if (zone != nullptr && member.zone != *zone) continue;
    const WeightedHost candidate{
        base::RendezvousWeight(leaf.value, member.host.value), &member};
    if (!best || Beats(candidate, *best)) best = candidate;
  }
  return best ? best->second : nullptr;
}

}  // namespace

std::optional<model::HostName> OwnerOf(
    const model::Environment& environment,
    const std::vector<model::Member>& members, const model::LeafName& leaf) {
  const model::LeafPlace place = model::FindLeaf(environment, leaf);
  if (place.leaf == nullptr) return std::nullopt;
  const model::Member* winner = Winner(members, leaf, &place.leaf->zone);
  if (winner == nullptr) winner = Winner(members, leaf, nullptr);
  if (winner == nullptr) return std::nullopt;
  return winner->host;
}

}  // namespace berylreach::routing
