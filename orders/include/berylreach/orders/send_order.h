// Action: send a claimed order to a leaf.
#pragma once

#include <chrono>
#include <string>

#include "berylreach/model/call_id.h"
#include "berylreach/model/names.h"

namespace berylreach::orders {

/// Asks the core to send an order at most once, to one leaf of its service.
/// `id` is the id of the forward for which the order was claimed. The core
/// reports the outcome with OnOrderOutcome or OnOrderUnsent.
struct SendOrder {
  model::CallId id;
  model::ServiceName service;
  std::string key;
  std::string payload;
  /// Remaining time until the order's deadline.
  std::chrono::microseconds budget{0};

  friend bool operator==(const SendOrder&, const SendOrder&) = default;
};

}  // namespace berylreach::orders
