// A compare-and-swap of the head record whose outcome is open.
#pragma once

#include <cstdint>

#include "berylreach/base/clock.h"
#include "berylreach/model/head_record.h"

namespace berylreach::membership {

/// A write that was sent to the store.
struct HeadWrite {
  model::HeadRecord record;
  /// Expected revision.
  std::uint64_t revision = 0;
  base::TimePoint started;
};

}  // namespace berylreach::membership
