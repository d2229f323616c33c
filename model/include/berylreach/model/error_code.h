// Error codes of refused requests.
#pragma once

#include <cstdint>
#include <string_view>

namespace berylreach::model {

/// Why a request was refused.
enum class ErrorCode : std::uint8_t {
  kBadRequest,
  kUnknownService,
  kDeadlineInPast,
  kDeadlineExceeded,
  kOverloaded,
  kUnavailable,
  kInsufficientCoverage,
  kNotServing,
  kStoreUnavailable,
  kKeyConflict,
  kKeyExpired,
  kInProgress,
  kRequestBlocked,
  kUpstreamFailed,
  kNoSnapshot,
};

/// The name of `code` in answers to callers, such as "insufficient_coverage".
std::string_view ToString(ErrorCode code);

}  // namespace berylreach::model
