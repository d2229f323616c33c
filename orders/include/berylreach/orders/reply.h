// Action: reply to a forwarded order.
#pragma once

#include "berylreach/model/order_reply.h"

namespace berylreach::orders {

/// Asks the core to send `reply` to the host that forwarded the order. Each
/// forward gets exactly one reply.
struct Reply {
  model::OrderReply reply;

  friend bool operator==(const Reply&, const Reply&) = default;
};

}  // namespace berylreach::orders
