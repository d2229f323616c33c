// An order on its way to its bucket owner.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "berylreach/model/call_id.h"
#include "berylreach/model/names.h"

namespace berylreach::model {

/// Asks the bucket owner to claim and run one order.
struct OrderForward {
  CallId id;
  ServiceName service;
  std::string key;
  std::string payload;
  /// Milliseconds since the Unix epoch.
  std::int64_t issued_at_ms = 0;
  std::chrono::microseconds budget{0};
  /// Deadline in milliseconds since the Unix epoch. After it the order must not
  /// run: a host that was frozen would otherwise run it when its caller has
  /// long been answered, maybe after another host said that it did not run.
  std::int64_t deadline_unix_ms = 0;

  friend bool operator==(const OrderForward&, const OrderForward&) = default;
};

}  // namespace berylreach::model
