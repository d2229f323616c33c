// Parses and encodes the JSON bodies of caller requests.
#pragma once

#include <chrono>
#include <string>
#include <string_view>
#include <variant>

#include "berylreach/base/clock.h"
#include "berylreach/model/caller_request.h"
#include "berylreach/model/refusal.h"

namespace berylreach::config {

/// Time until the deadline of a request without `deadline_ms`.
inline constexpr std::chrono::milliseconds kDefaultDeadline{1000};

/// Maximum value of `deadline_ms`.
inline constexpr std::chrono::milliseconds kMaxDeadline{60'000};

/// A parsed request, or the refusal to send to the caller.
using CallerRequestOrRefusal =
    std::variant<model::CallerRequest, model::Refusal>;

/// Parses the body of `POST /v1/query`, `/v1/lookup` or `/v1/order`, according
/// to `kind`. `deadline_ms` is relative to `now`. The payload of the result is
/// the body's `payload` as serialized JSON; the payload of a lookup is its key
/// as a JSON string, so that leaves receive the key and different lookups have
/// different fingerprints. A refusal has the code kDeadlineInPast, or
/// kBadRequest with the findings in its message; its execution status is always
/// kNotRun. Does not check whether the service exists.
CallerRequestOrRefusal ParseCallerRequest(model::RequestKind kind,
                                          std::string_view body,
                                          const model::CallId& id,
                                          base::TimePoint now);

/// Encodes the body that ParseCallerRequest parses. Used by tests and fuzzers.
std::string EncodeCallerRequest(const model::CallerRequest& request,
                                base::TimePoint now);

}  // namespace berylreach::config
