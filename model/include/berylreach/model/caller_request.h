// A request of a caller.
#pragma once

#include <chrono>
#include <string>

#include "berylreach/base/clock.h"
#include "berylreach/model/call_id.h"
#include "berylreach/model/names.h"
#include "berylreach/model/request_kind.h"

namespace berylreach::model {

/// A parsed and bounded caller request.
struct CallerRequest {
  CallId id;
  RequestKind kind = RequestKind::kQuery;
  ServiceName service;
  /// JSON text handed to the leaves unchanged.
  std::string payload;
  /// Record key of a lookup, idempotency key of an order; empty for a query.
  std::string key;
  /// When the caller issued the order; orders only.
  std::chrono::system_clock::time_point issued_at;
  /// On the clock of the host that received the request.
  base::TimePoint deadline;
  /// Least fraction of shards the caller accepts, 0 to 1.
  double min_coverage = 0;

  friend bool operator==(const CallerRequest&, const CallerRequest&) = default;
};

}  // namespace berylreach::model
