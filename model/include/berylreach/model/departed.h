// A host that was removed from the membership record.
#pragma once

#include <compare>
#include <cstdint>

#include "berylreach/model/member.h"

namespace berylreach::model {

/// A removed host that may still be running under an older epoch.
struct Departed {
  Member member;
  /// Epoch whose record first lacked the member.
  std::uint64_t epoch = 0;
  /// Acknowledgements that the member needs for a lease in its last epoch.
  std::uint32_t quorum = 0;

  friend auto operator<=>(const Departed&, const Departed&) = default;
};

}  // namespace berylreach::model
