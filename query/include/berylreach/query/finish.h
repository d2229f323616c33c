// Action: send the final reply to the caller.
#pragma once

#include "berylreach/model/caller_reply.h"

namespace berylreach::query {

/// Sends the final reply to the caller. A request gets exactly one.
struct Finish {
  model::CallerReply reply;

  friend bool operator==(const Finish&, const Finish&) = default;
};

}  // namespace berylreach::query
