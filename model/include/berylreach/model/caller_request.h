// A request from a caller.
#pragma once

#include <chrono>
#include <string>

#include "berylreach/base/clock.h"
#include "berylreach/model/call_id.h"
#include "berylreach/model/names.h"
#include "berylreach/model/request_kind.h"

namespace berylreach::model {

/// A caller request that was parsed and whose values were checked against their
/// bounds.
struct CallerRequest {
  CallId id;
  RequestKind kind = RequestKind::kQuery;
  ServiceName service;
  /// JSON text that is passed to the leaves unchanged.
  std::string payload;
  /// Record key of a lookup or idempotency key of an order; empty for a query.
  std::string key;
  /// When the caller issued the order; set for orders only.
  std::chrono::system_clock::time_point issued_at;
  /// Deadline on the monotonic clock of the host that received the request.
  base::TimePoint deadline;
  /// Minimum fraction of shards that the caller accepts in an answer, 0 to 1.
  double minimum_coverage = 0;

  friend bool operator==(const CallerRequest&, const CallerRequest&) = default;
};

}  // namespace berylreach::model
