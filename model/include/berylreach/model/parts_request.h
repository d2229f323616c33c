// The message that requests document parts from a peer.
#pragma once

#include <string>
#include <vector>

namespace berylreach::model {

/// Requests content-addressed document parts by their content hashes.
struct PartsRequest {
  std::vector<std::string> hashes;

  friend bool operator==(const PartsRequest&, const PartsRequest&) = default;
};

}  // namespace berylreach::model
