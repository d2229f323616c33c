// Action: add an event to the timeline.
#pragma once

#include <string>

namespace berylreach::orders {

/// A change of state that operators see in the timeline.
struct RecordEvent {
  /// Event type, such as "order_store_outage".
  std::string type;
  /// The journal concerned, such as "orders/3".
  std::string subject;
  std::string detail;

  friend bool operator==(const RecordEvent&, const RecordEvent&) = default;
};

}  // namespace berylreach::orders
