// Chooses the gossip peers through which updates spread without the store.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace berylreach::forward {

/// Number of peers to which a host forwards an update that is new to it. With
/// this fanout, an update reaches a fleet of thousands of hosts in a few steps,
/// even if hosts are lost, and the cost for each host does not grow with the
/// fleet.
inline constexpr std::size_t kGossipFanout = 12;

/// Same for a mere suspicion, most of which have harmless causes, such as slow
/// leaves. It reaches nearly all hosts.
inline constexpr std::size_t kSuspicionFanout = 5;

/// Number of hosts that check the leaves of a held request for the others.
inline constexpr std::size_t kLeafCheckers = 3;

/// Whether `self` is one of the `hosts` that check the leaves of a held request
/// with this fingerprint. All hosts that know the same `hosts` agree on them.
bool ChecksLeavesOf(std::uint64_t fingerprint, const std::string& self,
                    const std::vector<std::string>& hosts);

/// Returns the `fanout` members of `hosts` to which `self` forwards the update
/// with the hash `update_hash`. The choice differs for each sender and each
/// update.
std::vector<std::string> ChooseGossipPeers(const std::string& self,
                                           std::vector<std::string> hosts,
                                           std::uint64_t update_hash,
                                           std::size_t fanout = kGossipFanout);

}  // namespace berylreach::forward
