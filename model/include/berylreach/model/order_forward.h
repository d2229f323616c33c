// The message that forwards an order to its bucket owner.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "berylreach/model/call_id.h"
#include "berylreach/model/names.h"

namespace berylreach::model {

/// Asks the owner of the order's bucket to claim and run the order.
struct OrderForward {
  CallId id;
  ServiceName service;
  std::string key;
  std::string payload;
  /// When the caller issued the order, in milliseconds since the Unix epoch.
  std::int64_t issued_at_ms = 0;
  /// Time remaining until the deadline.
  std::chrono::microseconds budget{0};
  /// Deadline in milliseconds since the Unix epoch; the order must not run
  /// after it. Otherwise a host that was suspended could run the order long
  /// after its caller was answered, possibly after another host reported that
  /// it did not run.
  std::int64_t deadline_unix_ms = 0;

  friend bool operator==(const OrderForward&, const OrderForward&) = default;
};

}  // namespace berylreach::model
