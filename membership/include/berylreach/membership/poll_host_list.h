// Action: a read of the platform host list.
#pragma once

namespace berylreach::membership {

/// Reads the platform host list; the result is not an event of this package.
struct PollHostList {
  friend bool operator==(const PollHostList&, const PollHostList&) = default;
};

}  // namespace berylreach::membership
