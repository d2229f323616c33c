// Document parts.
#pragma once

#include <string>
#include <vector>

namespace berylreach::model {

/// Bytes of content-addressed parts; the receiver checks each against its hash.
struct PartsReply {
  std::vector<std::string> parts;

  friend bool operator==(const PartsReply&, const PartsReply&) = default;
};

}  // namespace berylreach::model
