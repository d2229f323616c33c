// Identity of equal requests.
#pragma once

#include <cstdint>
#include <vector>

#include "berylreach/model/caller_request.h"
#include "berylreach/model/member.h"
#include "berylreach/model/names.h"

namespace berylreach::quarantine {

/// xxHash64 of service, kind and payload (design 3.9). A lookup's key is part
/// of what it asks for and is included; an order's key is not, so that the same
/// order under a new key is recognised.
std::uint64_t FingerprintOf(const model::CallerRequest& request);

/// Identifies a leaf in SuspectEntry::canary_leaves; never 0.
std::uint64_t LeafIdOf(const model::LeafName& leaf);

/// The member that arbitrates runs of a suspect fingerprint: its rendezvous
/// winner among all members. Null if there are no members.
const model::Member* ArbiterOf(std::uint64_t fingerprint,
                               const std::vector<model::Member>& members);

}  // namespace berylreach::quarantine
