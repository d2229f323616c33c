// Building of the ownership table and lookups in it.
#include "berylreach/routing/ownership_table.h"

#include <optional>

#include "berylreach/routing/owner_of.h"

namespace berylreach::routing {

OwnershipTable::OwnershipTable(std::uint64_t epoch,
                               std::uint64_t document_version,
                               const model::Environment& environment,
                               const std::vector<model::Member>& members)
    : epoch_(epoch), document_version_(document_version) {
  for (const model::Service& service : environment.services) {
    for (const model::Leaf& leaf : service.leaves) {
      const std::optional<model::HostName> owner =
          OwnerOf(environment, members, leaf.name);
      if (!owner) continue;
      leaves_.push_back(leaf.name);
      owners_.emplace(leaf.name, *owner);
    }
  }
}

const model::HostName* OwnershipTable::Owner(
    const model::LeafName& leaf) const {
  const auto found = owners_.find(leaf);
  return found == owners_.end() ? nullptr : &found->second;
}

std::vector<model::LeafName> OwnershipTable::OwnedBy(
    const model::HostName& host) const {
  std::vector<model::LeafName> owned;
  for (const model::LeafName& leaf : leaves_) {
    if (owners_.at(leaf) == host) owned.push_back(leaf);
  }
  return owned;
}

}  // namespace berylreach::routing
