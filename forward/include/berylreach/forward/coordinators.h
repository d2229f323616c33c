// Selects the coordinators of a region: the hosts that run groups of a
// request's shards for other hosts.
#pragma once

#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

#include "berylreach/forward/host_entry.h"

namespace berylreach::forward {

/// Returns the coordinators among the hosts of one region, best first: the
/// hosts with the most cores, as many as are needed to make up a fixed fraction
/// of the region's cores. Among hosts with equally many cores, those in zones
/// with leaves come first. All hosts choose the same coordinators from the same
/// list. `leaves_by_zone` has the number of listed leaves of each zone.
std::vector<std::string> ChooseCoordinators(
    const std::vector<HostEntry>& hosts,
    const std::unordered_map<std::string, std::size_t>& leaves_by_zone);

}  // namespace berylreach::forward
