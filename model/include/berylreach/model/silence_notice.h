// The message by which witnesses agree that a host is silent before it is
// removed.
#pragma once

#include <cstdint>

#include "berylreach/model/names.h"
#include "berylreach/model/release.h"

namespace berylreach::model {

/// A witness that misses the heartbeats of `host` sends this to the other
/// witnesses with `heartbeat_received` false; those that still receive
/// heartbeats reply with `heartbeat_received` true. So one broken link between
/// two hosts removes neither of them.
struct SilenceNotice {
  HostName host;
  std::uint64_t incarnation = 0;
  bool heartbeat_received = false;
  /// Newest Release of `host` that the sender has; set only if
  /// `heartbeat_received`. With it a takeover can proceed although the direct
  /// link is broken.
  Release release;

  friend bool operator==(const SilenceNotice&, const SilenceNotice&) = default;
};

}  // namespace berylreach::model
