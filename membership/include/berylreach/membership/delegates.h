// Selection of the delegates.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "berylreach/model/member.h"
#include "berylreach/model/names.h"

namespace berylreach::membership {

/// Rank of `self` among the two members outside `suspects` with the lowest
/// rendezvous weight of "delegate"; nothing if it is not one of them.
std::optional<std::size_t> DelegateRank(
    const std::vector<model::Member>& members,
    const std::vector<model::HostName>& suspects, const model::HostName& self);

}  // namespace berylreach::membership
