// How far a fingerprint is trusted.
#pragma once

#include <cstdint>

namespace berylreach::quarantine {

/// What a host may do with a request.
enum class TrustLevel : std::uint8_t {
  kUnproven,  ///< Runs on one leaf first.
  kProven,    ///< Runs without restriction.
  kSuspect,   ///< Runs alone and only through its arbiter.
  kBlocked,   ///< Refused.
};

}  // namespace berylreach::quarantine
