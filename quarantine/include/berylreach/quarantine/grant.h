// The arbiter's decision on a request to run a suspect request.
#pragma once

#include <cstdint>

namespace berylreach::quarantine {

/// Whether a suspect request may run now.
enum class Grant : std::uint8_t {
  kGranted,
  kBusy,     ///< Another run is in progress, or the members changed recently.
  kBlocked,  ///< The fingerprint is blocked.
};

}  // namespace berylreach::quarantine
