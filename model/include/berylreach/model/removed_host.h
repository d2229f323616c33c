// A former member in the membership record.
#pragma once

#include <compare>
#include <cstdint>

#include "berylreach/model/member.h"

namespace berylreach::model {

/// A host that left, was removed because its heartbeats were missing, or was
/// replaced by a newer incarnation, and whose process or calls on leaves may
/// still be running under an older epoch.
struct RemovedHost {
  Member member;
  /// Epoch of the first record in which the host is no longer a member.
  std::uint64_t epoch = 0;
  /// Minimum number of acknowledgements that the host needed to extend its
  /// lease, over all epochs that it may have been at. 1 if that is unknown, or
  /// if the host was replaced by a newer incarnation.
  std::uint32_t quorum = 0;

  friend auto operator<=>(const RemovedHost&, const RemovedHost&) = default;
};

}  // namespace berylreach::model
