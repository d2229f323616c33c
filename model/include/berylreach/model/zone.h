// An availability zone as described by the document.
#pragma once

#include <cstdint>
#include <string>

#include "berylreach/model/names.h"

namespace berylreach::model {

/// Whether a zone is configured to take new work.
enum class ZoneState : std::uint8_t {
  kInService,
  kOutOfService,  ///< Takes no new work; running work completes.
};

/// An availability zone.
struct Zone {
  ZoneName name;
  std::string region;
  ZoneState state = ZoneState::kInService;

  friend bool operator==(const Zone&, const Zone&) = default;
};

}  // namespace berylreach::model
