// Choice of the host that owns a leaf.
#pragma once

#include <optional>
#include <vector>

#include "berylreach/model/environment.h"
#include "berylreach/model/member.h"
#include "berylreach/model/names.h"

namespace berylreach::routing {

/// Returns the owner of `leaf` (docs/design.md, section 3.1): the host with
/// the highest rendezvous weight among the members of the leaf's zone, or among
/// all members if the zone has none. Returns nothing if the document does not
/// name the leaf or there are no members.
std::optional<model::HostName> OwnerOf(
    const model::Environment& environment,
    const std::vector<model::Member>& members, const model::LeafName& leaf);

}  // namespace berylreach::routing
