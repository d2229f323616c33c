// The verdict on one caller request.
#pragma once

#include <chrono>

namespace berylreach::limits {

/// Whether a request may go on, and if not, when a repeat makes sense.
struct AdmissionDecision {
  bool admitted = false;
  std::chrono::milliseconds retry_after{0};

  friend bool operator==(const AdmissionDecision&,
                         const AdmissionDecision&) = default;
};

}  // namespace berylreach::limits
