// Cap'n Proto codec of leaf calls, forwarded orders and their replies.
#pragma once

#include "berylreach/model/leaf_call.h"
#include "berylreach/model/leaf_reply.h"
#include "berylreach/model/order_forward.h"
#include "berylreach/model/order_reply.h"
#include "generated/peer.capnp.h"

namespace berylreach::transport {

void Encode(const model::LeafCall& call, rpc::LeafCall::Builder builder);
model::LeafCall Decode(rpc::LeafCall::Reader reader);

void Encode(const model::LeafReply& reply, rpc::LeafReply::Builder builder);
model::LeafReply Decode(rpc::LeafReply::Reader reader);

void Encode(const model::OrderForward& order,
            rpc::OrderForward::Builder builder);
model::OrderForward Decode(rpc::OrderForward::Reader reader);

void Encode(const model::OrderReply& reply, rpc::OrderReply::Builder builder);
model::OrderReply Decode(rpc::OrderReply::Reader reader);

}  // namespace berylreach::transport
