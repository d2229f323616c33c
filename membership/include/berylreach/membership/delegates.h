// Selection of the delegates: the two members that watch the head record and
// poll the host list for all.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "berylreach/model/member.h"
#include "berylreach/model/names.h"

namespace berylreach::membership {

/// Rank of `self`, from 0, among the two members with the lowest rendezvous
/// weight for "delegate" that are not in `suspects`; nothing if `self` is not
/// one of them.
std::optional<std::size_t> DelegateRank(
    const std::vector<model::Member>& members,
    const std::vector<model::HostName>& suspects, const model::HostName& self);

}  // namespace berylreach::membership
