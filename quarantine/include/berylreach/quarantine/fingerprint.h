// Fingerprints, which identify equal requests, and their arbiters.
#pragma once

#include <cstdint>
#include <vector>

#include "berylreach/model/caller_request.h"
#include "berylreach/model/member.h"
#include "berylreach/model/names.h"

namespace berylreach::quarantine {

/// Returns the xxHash64 of service, kind and payload (docs/design.md, section
/// 3.9). The key of a lookup determines the result and is included; the key of
/// an order is not, so that the same order with a new key is recognised.
std::uint64_t FingerprintOf(const model::CallerRequest& request);

/// Returns the id of a leaf in SuspectEntry::canary_leaves; never 0.
std::uint64_t LeafIdOf(const model::LeafName& leaf);

/// Returns the member that arbitrates runs of a suspect fingerprint: the one
/// with the highest rendezvous weight among all members. Null if there are no
/// members.
const model::Member* ArbiterOf(std::uint64_t fingerprint,
                               const std::vector<model::Member>& members);

}  // namespace berylreach::quarantine
