// A message between hosts with its sender.
#pragma once

#include <cstdint>

#include "berylreach/model/names.h"
#include "berylreach/model/peer_message.h"

namespace berylreach::model {

/// A message with its sender. `incarnation` lets the receiver drop messages of
/// an earlier process.
struct Envelope {
  HostName from;
  std::uint64_t incarnation = 0;
  PeerMessage message;

  friend bool operator==(const Envelope&, const Envelope&) = default;
};

}  // namespace berylreach::model
