// Decides which hosts read the store and which follow the feed of another host,
// that is, receive the changes of the store from it.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "berylreach/forward/host_entry.h"

namespace berylreach::forward {

/// Returns the host whose feed `self` follows, or no host if `self` reads the
/// store itself. In each zone with many hosts, a few read the store, so that
/// the load on the store does not grow with the fleet. Hosts for which `failed`
/// returns true are skipped.
std::optional<HostEntry> ChooseFeedHost(
    const HostEntry& self, const std::vector<HostEntry>& hosts,
    const std::function<bool(const std::string&)>& failed);

}  // namespace berylreach::forward
