// The message that sends document parts to a peer.
#pragma once

#include <string>
#include <vector>

namespace berylreach::model {

/// Bytes of content-addressed document parts. The receiver checks each part
/// against its hash.
struct PartsReply {
  std::vector<std::string> parts;

  friend bool operator==(const PartsReply&, const PartsReply&) = default;
};

}  // namespace berylreach::model
