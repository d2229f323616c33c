// The message that publishes the membership record.
#pragma once

#include <cstdint>

#include "berylreach/model/head_record.h"

namespace berylreach::model {

/// The newest membership record that the sender knows.
struct HeadUpdate {
  HeadRecord record;
  /// Store revision of `record`.
  std::uint64_t revision = 0;

  friend bool operator==(const HeadUpdate&, const HeadUpdate&) = default;
};

}  // namespace berylreach::model
