// Names of error codes in answers to callers.
#include "berylreach/model/error_code.h"

namespace berylreach::model {

std::string_view ToString(ErrorCode code) {
  switch (code) {
    case ErrorCode::kBadRequest:
      return "bad_request";
    case ErrorCode::kUnknownService:
      return "unknown_service";
    case ErrorCode::kDeadlineInPast:
      return "deadline_in_past";
    case ErrorCode::kDeadlineExceeded:
      return "deadline_exceeded";
    case ErrorCode::kOverloaded:
      return "overloaded";
    case ErrorCode::kUnavailable:
      return "unavailable";
    case ErrorCode::kInsufficientCoverage:
      return "insufficient_coverage";
    case ErrorCode::kNotServing:
      return "not_serving";
    case ErrorCode::kStoreUnavailable:
      return "store_unavailable";
    case ErrorCode::kKeyConflict:
      return "key_conflict";
    case ErrorCode::kKeyExpired:
      return "key_expired";
    case ErrorCode::kInProgress:
      return "in_progress";
    case ErrorCode::kRequestBlocked:
      return "request_blocked";
    case ErrorCode::kUpstreamFailed:
      return "upstream_failed";
    case ErrorCode::kNoSnapshot:
      return "no_snapshot";
  }
  return "unknown";
}

}  // namespace berylreach::model
