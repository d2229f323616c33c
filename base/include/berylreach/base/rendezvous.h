// Rendezvous (highest random weight) hashing.
#pragma once

#include <cstdint>
#include <string_view>

namespace berylreach::base {

/// Weight of `node` for `key`. The node with the highest weight wins; removing
/// another node never changes the winner.
std::uint64_t RendezvousWeight(std::string_view key, std::string_view node);

/// The same for hashes of a key and a node.
std::uint64_t RendezvousWeight(std::uint64_t key, std::uint64_t node);

}  // namespace berylreach::base
