// The actions that HostCore asks its caller to execute: messages, calls, store
// requests and replies.
#pragma once

#include <chrono>
#include <string>
#include <variant>
#include <vector>

#include "berylreach/model/call_id.h"
#include "berylreach/model/caller_reply.h"
#include "berylreach/model/leaf.h"
#include "berylreach/model/member.h"
#include "berylreach/model/peer_message.h"
#include "berylreach/model/store_request.h"
#include "berylreach/model/upstream_call.h"

namespace berylreach::core {

/// Sends a message to another host. It may be lost, delayed or duplicated.
struct SendToPeer {
  model::HostName to;
  model::PeerMessage message;
};

/// Sends a call to a leaf. HostCore::OnUpstreamResult must be called with its
/// result.
struct CallUpstream {
  model::UpstreamCall call;
};

/// Cancels a call to a leaf. HostCore::OnUpstreamResult must still be called
/// with its result.
struct CancelUpstream {
  model::CallId id;
};

/// Replaces the set of leaves whose status is read.
struct ReadLeafStatuses {
  std::vector<model::Leaf> leaves;
};

/// Sets the silence threshold of `service`: the time after which a call without
/// an answer makes its connection suspect.
struct SetSilenceThreshold {
  model::ServiceName service;
  std::chrono::milliseconds threshold;
};

/// Sends a request to the store. HostCore::OnStoreResult must be called with
/// its result.
struct CallStore {
  model::StoreRequest request;
};

/// Reads the host list. HostCore::OnHostList must be called with the result.
struct PollHostList {};

/// Replaces the set of hosts to which messages can be sent.
struct SetPeers {
  std::vector<model::Member> members;
};

/// Sends the final reply to a caller.
struct ReplyToCaller {
  model::CallId id;
  model::CallerReply reply;
};

/// Records an event in the timeline.
struct RecordEvent {
  std::string type;
  std::string subject;
  std::string detail;
};

/// One action for the caller of HostCore to execute.
using Action = std::variant<SendToPeer, CallUpstream, CancelUpstream,
                            ReadLeafStatuses, SetSilenceThreshold, CallStore,
                            PollHostList, SetPeers, ReplyToCaller, RecordEvent>;

/// Actions in the order in which they must be executed.
using Actions = std::vector<Action>;

}  // namespace berylreach::core
