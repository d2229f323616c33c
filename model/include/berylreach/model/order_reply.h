// The bucket owner's reply to an order.
#pragma once

#include "berylreach/model/call_id.h"
#include "berylreach/model/caller_reply.h"

namespace berylreach::model {

/// Final reply to the order with the id `id`.
struct OrderReply {
  CallId id;
  CallerReply reply;

  friend bool operator==(const OrderReply&, const OrderReply&) = default;
};

}  // namespace berylreach::model
