// A forwarded order that waits for its reply.
#pragma once

#include "berylreach/base/clock.h"
#include "berylreach/model/call_id.h"

namespace berylreach::orders {

/// One forward of an order that has no reply yet.
struct Waiter {
  model::CallId id;
  base::TimePoint deadline;
};

}  // namespace berylreach::orders
