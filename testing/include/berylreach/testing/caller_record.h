// A caller request in a test and what became of it.
#pragma once

#include <optional>

#include "berylreach/model/caller_reply.h"
#include "berylreach/model/caller_request.h"
#include "berylreach/model/names.h"

namespace berylreach::testing {

/// One request given to one host.
struct CallerRecord {
  model::HostName host;
  /// Incarnation of the host process that received it.
  std::uint64_t incarnation = 0;
  model::CallerRequest request;
  base::TimePoint asked_at;
  std::optional<model::CallerReply> reply;
  base::TimePoint replied_at;
  /// Replies received; more than one is a fault.
  int replies = 0;
  /// The host was killed, or its process replaced, before it replied.
  bool host_lost = false;
};

}  // namespace berylreach::testing
