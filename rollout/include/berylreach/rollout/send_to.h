// Action: send a message to a peer.
#pragma once

#include "berylreach/model/names.h"
#include "berylreach/model/peer_message.h"

namespace berylreach::rollout {

/// Asks the core to send `message` to `host`. A message that cannot be
/// delivered is dropped.
struct SendTo {
  model::HostName host;
  model::PeerMessage message;

  friend bool operator==(const SendTo&, const SendTo&) = default;
};

}  // namespace berylreach::rollout
