// Action: the head record has a new epoch or names a new document.
#pragma once

#include "berylreach/model/head_record.h"

namespace berylreach::membership {

/// The epoch or the document of the head record in force has changed. After a
/// change of epoch the receiver must call Membership::SetOwnedLeaves and
/// Membership::SetHeldLeaves for that epoch; no Release is sent before that.
struct HeadChanged {
  model::HeadRecord record;

  friend bool operator==(const HeadChanged&, const HeadChanged&) = default;
};

}  // namespace berylreach::membership
