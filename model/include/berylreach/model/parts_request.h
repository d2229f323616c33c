// Request for document parts.
#pragma once

#include <string>
#include <vector>

namespace berylreach::model {

/// Asks a peer for content-addressed parts.
struct PartsRequest {
  std::vector<std::string> hashes;

  friend bool operator==(const PartsRequest&, const PartsRequest&) = default;
};

}  // namespace berylreach::model
