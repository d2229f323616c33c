// Action: add an event to the time line.
#pragma once

#include <string>

namespace berylreach::orders {

/// A change of state that operators should see.
struct RecordEvent {
  /// Event type, such as "order_store_outage".
  std::string type;
  std::string subject;
  std::string detail;

  friend bool operator==(const RecordEvent&, const RecordEvent&) = default;
};

}  // namespace berylreach::orders
