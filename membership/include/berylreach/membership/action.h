// The actions that the membership state machine asks its caller to execute.
#pragma once

#include <variant>
#include <vector>

#include "berylreach/membership/cas_head.h"
#include "berylreach/membership/document_announced.h"
#include "berylreach/membership/head_changed.h"
#include "berylreach/membership/leaf_taken_over.h"
#include "berylreach/membership/peer_versions.h"
#include "berylreach/membership/poll_host_list.h"
#include "berylreach/membership/read_head.h"
#include "berylreach/membership/record_event.h"
#include "berylreach/membership/send_to.h"
#include "berylreach/membership/watch_head.h"

namespace berylreach::membership {

/// One action for the caller to execute: send a message, access the head record
/// or the host list, react to a change or to a peer's versions, or record an
/// event.
using Action = std::variant<SendTo, ReadHead, WatchHead, CasHead, PollHostList,
                            HeadChanged, DocumentAnnounced, LeafTakenOver,
                            PeerVersions, RecordEvent>;

/// Actions in the order in which they must be executed.
using Actions = std::vector<Action>;

}  // namespace berylreach::membership
