// Selection of the witnesses of a member: the members to which it sends its
// heartbeats.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "berylreach/model/member.h"
#include "berylreach/model/names.h"

namespace berylreach::membership {

/// Returns the other members with the highest rendezvous weight for `host`,
/// highest first, at most `kMaxWitnesses`.
std::vector<model::Member> WitnessesOf(
    const std::vector<model::Member>& members, const model::HostName& host);

/// Number of acknowledgements that extend a lease in an epoch of `member_count`
/// members: a majority of the witness set. It is 1 for a sole member, which has
/// no witnesses and therefore renews its lease through the store only.
std::uint32_t WitnessQuorum(std::size_t member_count);

/// The member with that host name and incarnation; null if there is none.
const model::Member* FindMember(const std::vector<model::Member>& members,
                                const model::HostName& host,
                                std::uint64_t incarnation);

/// The member with that host name; null if there is none.
const model::Member* FindMember(const std::vector<model::Member>& members,
                                const model::HostName& host);

}  // namespace berylreach::membership
