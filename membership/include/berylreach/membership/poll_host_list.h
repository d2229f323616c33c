// Action: a read of the platform host list.
#pragma once

namespace berylreach::membership {

/// Reads the host list of the platform. The result is not passed to Membership.
struct PollHostList {
  friend bool operator==(const PollHostList&, const PollHostList&) = default;
};

}  // namespace berylreach::membership
