// A message between hosts with its sender.
#pragma once

#include <cstdint>

#include "berylreach/model/names.h"
#include "berylreach/model/peer_message.h"

namespace berylreach::model {

/// A message with the name and incarnation of its sender. The receiver uses the
/// incarnation to drop messages from an earlier process of the same host.
struct Envelope {
  HostName from;
  std::uint64_t incarnation = 0;
  PeerMessage message;

  friend bool operator==(const Envelope&, const Envelope&) = default;
};

}  // namespace berylreach::model
