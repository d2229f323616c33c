// Decides which hosts read the store.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "berylreach/forward/host_entry.h"

namespace berylreach::forward {

/// The host from which `self` learns of changes; nothing if it reads the store
/// itself. In each zone with many hosts a few read the store, so that calls to
/// it do not grow with the fleet. Hosts for which `failed` holds are passed
/// over.
std::optional<HostEntry> ChooseFeedHost(
    const HostEntry& self, const std::vector<HostEntry>& hosts,
    const std::function<bool(const std::string&)>& failed);

}  // namespace berylreach::forward
