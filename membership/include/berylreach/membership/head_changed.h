// Action: a new epoch or document in the head record.
#pragma once

#include "berylreach/model/head_record.h"

namespace berylreach::membership {

/// The head record in force changed its epoch or its document. After a change
/// of epoch the receiver must call Membership::SetOwnedLeaves and
/// Membership::SetHeldLeaves for that epoch; until then no Release is sent.
struct HeadChanged {
  model::HeadRecord record;

  friend bool operator==(const HeadChanged&, const HeadChanged&) = default;
};

}  // namespace berylreach::membership
