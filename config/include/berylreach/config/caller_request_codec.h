// JSON bodies of caller requests.
#pragma once

#include <chrono>
#include <string>
#include <string_view>
#include <variant>

#include "berylreach/base/clock.h"
#include "berylreach/model/caller_request.h"
#include "berylreach/model/refusal.h"

namespace berylreach::config {

/// Time that a request gets if its caller states no `deadline_ms`.
inline constexpr std::chrono::milliseconds kDefaultDeadline{1000};

/// Longest `deadline_ms` that a caller may state.
inline constexpr std::chrono::milliseconds kMaxDeadline{60'000};

/// A request, or the refusal to send to the caller.
using CallerRequestOrRefusal =
    std::variant<model::CallerRequest, model::Refusal>;

/// Parses the body of `POST /v1/query`, `/v1/lookup` or `/v1/order`, as told by
/// `kind`. `deadline_ms` counts from `now`. The payload is the serialized JSON
/// value of the body; that of a lookup is its key as a JSON string, so that
/// leaves receive the key and fingerprints tell lookups apart. A refusal has
/// code kDeadlineInPast or kBadRequest, the latter with all findings in its
/// message, and is always kNotRun. The service is not checked.
CallerRequestOrRefusal ParseCallerRequest(model::RequestKind kind,
                                          std::string_view body,
                                          const model::CallId& id,
                                          base::TimePoint now);

/// The body that ParseCallerRequest reads, for clients and tests.
std::string EncodeCallerRequest(const model::CallerRequest& request,
                                base::TimePoint now);

}  // namespace berylreach::config
