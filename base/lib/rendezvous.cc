// Rendezvous weights.
#include "berylreach/base/rendezvous.h"

#include <string>

#include "berylreach/base/hash.h"

namespace berylreach::base {

std::uint64_t RendezvousWeight(std::string_view key, std::string_view node) {
  std::string joined;
  joined.reserve(key.size() + node.size() + 1);
  joined.append(key);
  // The separator keeps ("ab", "c") and ("a", "bc") apart.
  joined.push_back('\0');
  joined.append(node);
  return Hash64(joined);
}

}  // namespace berylreach::base
