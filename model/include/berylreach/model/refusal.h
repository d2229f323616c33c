// A refused caller request.
#pragma once

#include <chrono>
#include <string>

#include "berylreach/model/error_code.h"
#include "berylreach/model/ran.h"

namespace berylreach::model {

/// The final answer to a request that was given up. It is sent at once and
/// never held back.
struct Refusal {
  ErrorCode code = ErrorCode::kUnavailable;
  /// Lower-case sentence without a full stop.
  std::string message;
  Ran ran = Ran::kNotRun;
  /// When a repeat makes sense; zero if a repeat cannot succeed.
  std::chrono::milliseconds retry_after{0};

  friend bool operator==(const Refusal&, const Refusal&) = default;
};

}  // namespace berylreach::model
