// The changes that a host makes to the members and removed hosts of the head
// record.
#pragma once

#include <functional>
#include <vector>

#include "berylreach/membership/quorum_history.h"
#include "berylreach/model/head_record.h"
#include "berylreach/model/member.h"
#include "berylreach/model/names.h"
#include "berylreach/model/removed_host.h"

namespace berylreach::membership {

/// Whether the writer knows that a removed host is fenced.
using FencedPredicate = std::function<bool(const model::RemovedHost&)>;

/// Returns `head` at the next epoch with `self` as a member. An earlier
/// incarnation of `self` becomes a removed host.
model::HeadRecord WithJoined(const model::HeadRecord& head,
                             const model::Member& self);

/// Returns `head` at the next epoch with the members `removed` moved to the
/// removed hosts, and without those earlier removed hosts that are fenced.
model::HeadRecord WithRemoved(const model::HeadRecord& head,
                              const std::vector<model::HostName>& removed,
                              const QuorumHistory& quorums,
                              const FencedPredicate& fenced);

/// Returns `head` at the same epoch without the removed hosts that are fenced.
model::HeadRecord WithoutFenced(const model::HeadRecord& head,
                                const FencedPredicate& fenced);

}  // namespace berylreach::membership
