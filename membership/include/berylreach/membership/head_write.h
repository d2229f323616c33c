// A compare-and-swap of the head record.
#pragma once

#include <cstdint>

#include "berylreach/base/clock.h"
#include "berylreach/model/head_record.h"

namespace berylreach::membership {

/// A compare-and-swap of the head record that was sent to the store.
struct HeadWrite {
  model::HeadRecord record;
  /// Revision that it replaces.
  std::uint64_t revision = 0;
  base::TimePoint started;
};

}  // namespace berylreach::membership
