// Action: a read of the head record that returns at once.
#pragma once

#include <cstdint>

namespace berylreach::membership {

/// Reads the head record. The result goes to Membership::OnHeadRead with the
/// same `id`.
struct ReadHead {
  std::uint64_t id = 0;

  friend bool operator==(const ReadHead&, const ReadHead&) = default;
};

}  // namespace berylreach::membership
