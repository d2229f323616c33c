// Spreads news among hosts without the store.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace berylreach::forward {

/// Hosts to which each host passes news on that it has just heard. With this
/// many, news reaches a fleet of thousands in a few steps, though hosts are
/// lost, at a cost a host that does not grow with the fleet.
inline constexpr std::size_t kGossipFanout = 12;

/// The hosts of `hosts` to which `self` passes a piece of news on; others for
/// another host or another piece.
std::vector<std::string> ChooseGossipPeers(const std::string& self,
                                           std::vector<std::string> hosts,
                                           std::uint64_t news);

}  // namespace berylreach::forward
