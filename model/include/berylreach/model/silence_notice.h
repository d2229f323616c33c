// The message by which the witnesses of a host check before its removal whether
// any of them still receives its heartbeats.
#pragma once

#include <cstdint>

#include "berylreach/model/names.h"
#include "berylreach/model/release.h"

namespace berylreach::model {

/// A host is silent if its heartbeats are missing. A witness of a silent host
/// sends this to the other witnesses of `host` with `heartbeat_received` false;
/// a witness that still receives heartbeats replies with `heartbeat_received`
/// true. A broken link between two hosts therefore removes neither of them.
struct SilenceNotice {
  HostName host;
  std::uint64_t incarnation = 0;
  bool heartbeat_received = false;
  /// Newest Release of `host` that the sender has; set only if
  /// `heartbeat_received` is true. With it a takeover that waits for this
  /// Release can proceed although the link from `host` to the receiver is
  /// broken.
  Release release;

  friend bool operator==(const SilenceNotice&, const SilenceNotice&) = default;
};

}  // namespace berylreach::model
