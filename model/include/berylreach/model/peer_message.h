// All messages between hosts.
#pragma once

#include <variant>

#include "berylreach/model/document_offer.h"
#include "berylreach/model/head_update.h"
#include "berylreach/model/heartbeat.h"
#include "berylreach/model/heartbeat_ack.h"
#include "berylreach/model/host_list_update.h"
#include "berylreach/model/leaf_call.h"
#include "berylreach/model/leaf_cancel.h"
#include "berylreach/model/leaf_reply.h"
#include "berylreach/model/leaf_states.h"
#include "berylreach/model/order_forward.h"
#include "berylreach/model/order_reply.h"
#include "berylreach/model/parts_reply.h"
#include "berylreach/model/parts_request.h"
#include "berylreach/model/release.h"
#include "berylreach/model/silence_notice.h"
#include "berylreach/model/suspect_update.h"

namespace berylreach::model {

/// Any message between hosts. The order is not part of the wire format.
using PeerMessage =
    std::variant<Heartbeat, HeartbeatAck, LeafCall, LeafReply, LeafCancel,
                 OrderForward, OrderReply, LeafStates, HostListUpdate,
                 SuspectUpdate, DocumentOffer, PartsRequest, PartsReply,
                 HeadUpdate, Release, SilenceNotice>;

}  // namespace berylreach::model
