// How far a fingerprint is trusted.
#pragma once

#include <cstdint>

namespace berylreach::quarantine {

/// Trust in a request, which decides how a host may run it.
enum class TrustLevel : std::uint8_t {
  kUnproven,  ///< Runs on one leaf first.
  kProven,    ///< Runs without restriction.
  kSuspect,   ///< Runs exclusively and only through its arbiter.
  kBlocked,   ///< Refused.
};

}  // namespace berylreach::quarantine
