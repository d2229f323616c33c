// The changes that a host makes to the head record.
#pragma once

#include <functional>
#include <vector>

#include "berylreach/membership/quorum_history.h"
#include "berylreach/model/departed.h"
#include "berylreach/model/head_record.h"
#include "berylreach/model/member.h"
#include "berylreach/model/names.h"

namespace berylreach::membership {

/// Whether a departed entry is fenced for the writer.
using FencedPredicate = std::function<bool(const model::Departed&)>;

/// `head` of the next epoch with `self` as a member in place of its earlier
/// incarnation, which becomes a departed entry.
model::HeadRecord WithJoined(const model::HeadRecord& head,
                             const model::Member& self);

/// `head` of the next epoch without `removed`, which become departed entries,
/// and without the entries that are fenced.
model::HeadRecord WithRemoved(const model::HeadRecord& head,
                              const std::vector<model::HostName>& removed,
                              const QuorumHistory& quorums,
                              const FencedPredicate& fenced);

/// `head` of the same epoch without the departed entries that are fenced.
model::HeadRecord WithoutFenced(const model::HeadRecord& head,
                                const FencedPredicate& fenced);

}  // namespace berylreach::membership
