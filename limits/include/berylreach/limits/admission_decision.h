// The admission decision for one caller request.
#pragma once

#include <chrono>

namespace berylreach::limits {

/// Whether a request is admitted, and if not, after which delay the caller
/// should retry.
struct AdmissionDecision {
  bool admitted = false;
  std::chrono::milliseconds retry_after{0};

  friend bool operator==(const AdmissionDecision&,
                         const AdmissionDecision&) = default;
};

}  // namespace berylreach::limits
