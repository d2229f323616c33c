// A host that was removed from the membership record.
#pragma once

#include <compare>
#include <cstdint>

#include "berylreach/model/member.h"

namespace berylreach::model {

/// A removed host whose process may still be running under an older epoch.
struct RemovedHost {
  Member member;
  /// Epoch of the first record without the member.
  std::uint64_t epoch = 0;
  /// Number of acknowledgements that the member needed to hold a lease in its
  /// last epoch.
  std::uint32_t quorum = 0;

  friend auto operator<=>(const RemovedHost&, const RemovedHost&) = default;
};

}  // namespace berylreach::model
