// Implements the weights of rendezvous hashing.
#include "berylreach/base/rendezvous.h"

#include <string>

#include "berylreach/base/hash.h"

namespace berylreach::base {

std::uint64_t RendezvousWeight(std::string_view key, std::string_view node) {
  std::string joined;
  joined.reserve(key.size() + node.size() + 1);
  joined.append(key);
  // The separator gives ("ab", "c") and ("a", "bc") different hash inputs.
  joined.push_back('\0');
  joined.append(node);
  return Hash64(joined);
}

std::uint64_t RendezvousWeight(std::uint64_t key, std::uint64_t node) {
  // The finalizer of SplitMix64. Multiplying `key` first makes the weight
  // differ when the two hashes are swapped.
  std::uint64_t mixed = key * 0x9E3779B97F4A7C15ULL + node;
  mixed = (mixed ^ (mixed >> 30)) * 0xBF58476D1CE4E5B9ULL;
  mixed = (mixed ^ (mixed >> 27)) * 0x94D049BB133111EBULL;
  return mixed ^ (mixed >> 31);
}

}  // namespace berylreach::base
