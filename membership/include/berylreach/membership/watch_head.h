// Action: a read of the head record that waits for a change.
#pragma once

#include <chrono>
#include <cstdint>

namespace berylreach::membership {

/// Reads the head record once its revision is not `revision`, or after `wait`.
/// The result goes to Membership::OnHeadRead with the same `id`.
struct WatchHead {
  std::uint64_t id = 0;
  std::uint64_t revision = 0;
  std::chrono::milliseconds wait{0};

  friend bool operator==(const WatchHead&, const WatchHead&) = default;
};

}  // namespace berylreach::membership
