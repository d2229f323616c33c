// Rendezvous (highest random weight) hashing.
#pragma once

#include <cstdint>
#include <string_view>

namespace berylreach::base {

/// Weight of `node` for `key`. The key is assigned to the node with the highest
/// weight; removing any other node does not change the assignment.
std::uint64_t RendezvousWeight(std::string_view key, std::string_view node);

/// As above, for a key and a node that are already hashed. The two overloads
/// give different weights.
std::uint64_t RendezvousWeight(std::uint64_t key, std::uint64_t node);

}  // namespace berylreach::base
