// Interface to observe the messages, store calls and events of a World.
#pragma once

#include <string>

#include "berylreach/model/peer_message.h"

namespace berylreach::testing {

/// Receives notifications from a World in the order of the events.
class WorldObserver {
 public:
  virtual ~WorldObserver() = default;

  /// `from` sent a message to `to`. Messages that are dropped at random are not
  /// reported; a reported message is still lost if the link is cut or `to` has
  /// ended when it arrives.
  virtual void OnPeerMessage(const std::string& from, const std::string& to,
                             const model::PeerMessage& message) = 0;
  /// `host` sent a request to the store.
  virtual void OnStoreCall(const std::string& host) = 0;
  /// Called immediately before a host core handles an event, and OnEventEnd
  /// immediately after.
  virtual void OnEventBegin() = 0;
  virtual void OnEventEnd() = 0;
};

}  // namespace berylreach::testing
