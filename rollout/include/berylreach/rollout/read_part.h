// Action: read a part from the store.
#pragma once

#include <string>

namespace berylreach::rollout {

/// Asks the core to read the part with the content hash `hash` from the store;
/// answered by Rollout::OnPartRead.
struct ReadPart {
  std::string hash;

  friend bool operator==(const ReadPart&, const ReadPart&) = default;
};

}  // namespace berylreach::rollout
