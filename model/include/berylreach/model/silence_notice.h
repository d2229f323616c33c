// Agreement of witnesses before a silent host is removed.
#pragma once

#include <cstdint>

#include "berylreach/model/names.h"
#include "berylreach/model/release.h"

namespace berylreach::model {

/// Sent by a witness of `host` that misses its heartbeats to the other
/// witnesses (`heard` is false), and back by those that hear it (`heard` is
/// true). A single broken link between two hosts must not remove either.
struct SilenceNotice {
  HostName host;
  std::uint64_t incarnation = 0;
  bool heard = false;
  /// Newest Release of `host` that the sender has; only if `heard`. It lets a
  /// takeover go on over a broken link.
  Release release;

  friend bool operator==(const SilenceNotice&, const SilenceNotice&) = default;
};

}  // namespace berylreach::model
