// Action: a store read of a part.
#pragma once

#include <string>

namespace berylreach::rollout {

/// Reads the part of that hash from the store; answered by Rollout::OnPartRead.
struct ReadPart {
  std::string hash;

  friend bool operator==(const ReadPart&, const ReadPart&) = default;
};

}  // namespace berylreach::rollout
