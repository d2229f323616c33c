// Action: a blocking read of the head record.
#pragma once

#include <chrono>
#include <cstdint>

namespace berylreach::membership {

/// Waits up to `wait` for a head revision other than `revision`; answered by
/// Membership::OnHeadRead with the same `id`.
struct WatchHead {
  std::uint64_t id = 0;
  std::uint64_t revision = 0;
  std::chrono::milliseconds wait{0};

  friend bool operator==(const WatchHead&, const WatchHead&) = default;
};

}  // namespace berylreach::membership
