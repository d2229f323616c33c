// A forward that waits for the outcome of an order.
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
