// Action: a plain read of the head record.
#pragma once

#include <cstdint>

namespace berylreach::membership {

/// Reads the head record; answered by Membership::OnHeadRead with the same
/// `id`.
struct ReadHead {
  std::uint64_t id = 0;

  friend bool operator==(const ReadHead&, const ReadHead&) = default;
};

}  // namespace berylreach::membership
