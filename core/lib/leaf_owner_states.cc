// Changes of ownership and publication of leaf states.
#include <algorithm>
#include <utility>

#include "berylreach/core/leaf_owner.h"
#include "berylreach/routing/leaf_state_digest.h"

namespace berylreach::core {

void LeafOwner::Adopt(const routing::OwnershipTable& table,
                      const model::Environment& environment,
                      const std::vector<model::Member>& members) {
  states_dirty_ = true;
  // In an epoch that this host has skipped, another host may have owned a leaf
  // and published newer states.
  if (table.epoch() > epoch_ + 1) ResetPublished();
  silence_thresholds_.Retain(environment);
  epoch_ = table.epoch();
  members_ = members;
  const auto owned = table.OwnedBy(outbox_.self());
  const std::set<model::LeafName> owned_names(owned.begin(), owned.end());
  for (auto& [name, owned_leaf] : leaves_) {
    if (!owned_leaf.owned || owned_names.contains(name)) continue;
    owned_leaf.owned = false;
    owned_leaf.open = false;
    owned_leaf.published = {};
    limits::Actions actions;
    owned_leaf.gate.OnOwnershipLost(actions);
    Execute(owned_leaf, actions);
  }
  std::vector<model::Leaf> statuses_to_read;
  for (const model::LeafName& name : owned) {
    const model::Leaf* leaf = model::FindLeaf(environment, name).leaf;
    auto [found, added] = leaves_.try_emplace(name, clock_, *leaf);
    // If ownership returns while earlier calls still run on the leaf, the leaf
    // keeps its gate, which tracks these calls.
    found->second.owned = true;
    UpdateLeaf(found->second, *leaf,
               !model::ZoneInService(environment, leaf->zone));
    statuses_to_read.push_back(*leaf);
  }
  outbox_.Emit(ReadLeafStatuses{std::move(statuses_to_read)});
  DropFinished();
}

void LeafOwner::UpdateLeaf(OwnedLeaf& owned_leaf, const model::Leaf& leaf,
                           bool zone_out_of_service) {
  if (owned_leaf.leaf.address != leaf.address) {
    owned_leaf.state_known = false;
    owned_leaf.reachable = false;
    owned_leaf.incarnation = 0;
  }
  owned_leaf.leaf = leaf;
  owned_leaf.listed_leaving = leaving_.contains(leaf.name);
  limits::Actions actions;
  owned_leaf.gate.SetSlots(leaf.slots, actions);
  owned_leaf.gate.SetZoneOutOfService(zone_out_of_service, actions);
  owned_leaf.gate.SetLeaseExpiry(lease_expiry_, actions);
  Execute(owned_leaf, actions);
  ApplyDraining(owned_leaf);
}

void LeafOwner::DropFinished() {
  std::erase_if(leaves_, [](const auto& item) {
    return !item.second.owned && !item.second.HasWork();
  });
}

bool LeafOwner::IsPublished(const OwnedLeaf& owned_leaf) const {
  const model::LeafState& published = owned_leaf.published;
  // A state of an earlier epoch remains valid while the owner stays the same.
  // Publishing all states on each change of members would cost time in
  // proportion to the number of leaves.
  return published.sequence != 0 && published.health == owned_leaf.Health() &&
         published.holdings == owned_leaf.holdings;
}

void LeafOwner::ResetPublished() {
  for (auto& [name, owned_leaf] : leaves_) owned_leaf.published = {};
}

void LeafOwner::PublishChanges() {
  // Most events change no state. A scan of all leaves after each event would
  // take about a third of the processor time of an owner.
  if (!std::exchange(states_dirty_, false)) return;
  model::LeafStates changed;
  for (auto& [name, owned_leaf] : leaves_) {
    // Publishing the state of a leaf before its takeover is complete would
    // attract calls that must then wait.
    if (!owned_leaf.owned || !owned_leaf.open || !owned_leaf.state_known)
      continue;
    if (IsPublished(owned_leaf)) continue;
    owned_leaf.published = {
        name,           outbox_.self(),      epoch_,
        NextSequence(), owned_leaf.Health(), owned_leaf.holdings};
    changed.states.push_back(owned_leaf.published);
  }
  states_digest_ = ComputeStatesDigest();
  if (!changed.states.empty()) outbox_.SendToAll(members_, std::move(changed));
}

void LeafOwner::PublishAllTo(const model::HostName& host) {
  model::LeafStates all;
  for (const auto& [name, owned_leaf] : leaves_) {
    if (owned_leaf.owned && owned_leaf.published.sequence != 0)
      all.states.push_back(owned_leaf.published);
  }
  if (!all.states.empty()) outbox_.Send(host, std::move(all));
}

std::vector<model::LeafName> LeafOwner::OwnedLeaves() const {
  std::vector<model::LeafName> names;
  for (const auto& [name, owned_leaf] : leaves_) {
    if (owned_leaf.owned) names.push_back(name);
  }
  std::sort(names.begin(), names.end());
  return names;
}

std::vector<model::LeafName> LeafOwner::HeldLeaves() const {
  std::vector<model::LeafName> names;
  for (const auto& [name, owned_leaf] : leaves_) {
    if (!owned_leaf.owned && owned_leaf.HasWork()) names.push_back(name);
  }
  std::sort(names.begin(), names.end());
  return names;
}

std::uint64_t LeafOwner::ComputeStatesDigest() const {
  std::uint64_t digest = 0;
  for (const auto& [name, owned_leaf] : leaves_) {
    if (owned_leaf.owned && owned_leaf.published.sequence != 0)
      digest += routing::DigestOf(owned_leaf.published);
  }
  return digest;
}

bool LeafOwner::HasWork() const {
  return std::any_of(leaves_.begin(), leaves_.end(),
                     [](const auto& item) { return item.second.HasWork(); });
}

std::uint64_t LeafOwner::NextSequence() {
  // Wall time keeps the sequence increasing when ownership of a leaf moves
  // between hosts within an epoch.
  const auto wall = std::chrono::duration_cast<std::chrono::microseconds>(
      clock_.WallNow().time_since_epoch());
  last_sequence_ =
      std::max(last_sequence_ + 1, static_cast<std::uint64_t>(wall.count()));
  return last_sequence_;
}

}  // namespace berylreach::core
