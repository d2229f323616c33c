// The hosts of a region that run requests for the others.
#pragma once

#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

#include "berylreach/forward/host_entry.h"

namespace berylreach::forward {

/// The coordinators among the hosts of one region, best first: the hosts with
/// the largest processors, those in zones with leaves first, that make up a
/// fixed part of the region's processors. All hosts choose the same ones from
/// the same list. `leaves_by_zone` counts the listed leaves of each zone.
std::vector<std::string> ChooseCoordinators(
    const std::vector<HostEntry>& hosts,
    const std::unordered_map<std::string, std::size_t>& leaves_by_zone);

}  // namespace berylreach::forward
