// The changes that a host makes to the members and departed entries of the head
// record.
#pragma once

#include <functional>
#include <vector>

#include "berylreach/membership/quorum_history.h"
#include "berylreach/model/departed.h"
#include "berylreach/model/head_record.h"
#include "berylreach/model/member.h"
#include "berylreach/model/names.h"

namespace berylreach::membership {

/// Whether the writer knows that a departed entry is fenced.
using FencedPredicate = std::function<bool(const model::Departed&)>;

/// Returns `head` at the next epoch with `self` as a member. An earlier
/// incarnation of `self` becomes a departed entry.
model::HeadRecord WithJoined(const model::HeadRecord& head,
                             const model::Member& self);

/// Returns `head` at the next epoch with the members `removed` as departed
/// entries, and without the earlier departed entries that are fenced.
model::HeadRecord WithRemoved(const model::HeadRecord& head,
                              const std::vector<model::HostName>& removed,
                              const QuorumHistory& quorums,
                              const FencedPredicate& fenced);

/// Returns `head` at the same epoch without the departed entries that are
/// fenced.
model::HeadRecord WithoutFenced(const model::HeadRecord& head,
                                const FencedPredicate& fenced);

}  // namespace berylreach::membership
