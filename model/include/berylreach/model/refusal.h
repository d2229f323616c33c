// A refused caller request.
#pragma once

#include <chrono>
#include <string>

#include "berylreach/model/error_code.h"
#include "berylreach/model/execution_status.h"

namespace berylreach::model {

/// The final reply to a request that the host refuses or abandons. It is sent
/// immediately.
struct Refusal {
  ErrorCode code = ErrorCode::kUnavailable;
  /// Reason for the caller in lower case, without a trailing full stop.
  std::string message;
  ExecutionStatus execution = ExecutionStatus::kNotRun;
  /// Delay after which the caller may retry; zero if a retry cannot succeed.
  std::chrono::milliseconds retry_after{0};

  friend bool operator==(const Refusal&, const Refusal&) = default;
};

}  // namespace berylreach::model
