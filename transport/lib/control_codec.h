// Cap'n Proto codec of the messages that carry cluster state.
#pragma once

#include "berylreach/model/head_update.h"
#include "berylreach/model/heartbeat.h"
#include "berylreach/model/heartbeat_ack.h"
#include "berylreach/model/host_list.h"
#include "berylreach/model/leaf_state.h"
#include "berylreach/model/release.h"
#include "berylreach/model/silence_notice.h"
#include "berylreach/model/suspect_update.h"
#include "generated/peer.capnp.h"

namespace berylreach::transport {

void Encode(const model::Heartbeat& heartbeat, rpc::Heartbeat::Builder builder);
model::Heartbeat Decode(rpc::Heartbeat::Reader reader);

void Encode(const model::HeartbeatAck& ack, rpc::HeartbeatAck::Builder builder);
model::HeartbeatAck Decode(rpc::HeartbeatAck::Reader reader);

void Encode(const model::LeafState& state, rpc::LeafState::Builder builder);
model::LeafState Decode(rpc::LeafState::Reader reader);

void Encode(const model::HostList& list, rpc::HostList::Builder builder);
model::HostList Decode(rpc::HostList::Reader reader);

void Encode(const model::SuspectEntry& entry,
            rpc::SuspectEntry::Builder builder);
model::SuspectEntry Decode(rpc::SuspectEntry::Reader reader);

void Encode(const model::Release& release, rpc::Release::Builder builder);
model::Release Decode(rpc::Release::Reader reader);

void Encode(const model::SilenceNotice& notice,
            rpc::SilenceNotice::Builder builder);
model::SilenceNotice Decode(rpc::SilenceNotice::Reader reader);

void Encode(const model::HeadUpdate& update, rpc::HeadUpdate::Builder builder);
model::HeadUpdate Decode(rpc::HeadUpdate::Reader reader);

}  // namespace berylreach::transport
