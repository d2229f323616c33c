// Action: answer the caller.
#pragma once

#include "berylreach/model/caller_reply.h"

namespace berylreach::query {

/// The one final reply to the caller.
struct Finish {
  model::CallerReply reply;

  friend bool operator==(const Finish&, const Finish&) = default;
};

}  // namespace berylreach::query
