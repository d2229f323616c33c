// A request that a test sends to a host, and its outcome.
#pragma once

#include <optional>

#include "berylreach/model/caller_reply.h"
#include "berylreach/model/caller_request.h"
#include "berylreach/model/names.h"

namespace berylreach::testing {

/// One request sent to one host. A repeat of it has a record of its own.
struct CallerRecord {
  model::HostName host;
  /// Incarnation of the host process that received it; 0 if the host did not
  /// run.
  std::uint64_t incarnation = 0;
  model::CallerRequest request;
  base::TimePoint sent_at;
  std::optional<model::CallerReply> reply;
  base::TimePoint replied_at;
  /// Number of replies received; more than one is a fault of the host.
  int replies = 0;
  /// The host did not run, or was killed before it replied.
  bool host_lost = false;
};

}  // namespace berylreach::testing
