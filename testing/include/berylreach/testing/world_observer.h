// Counting of what the hosts of a World send and call.
#pragma once

#include <string>

#include "berylreach/model/peer_message.h"

namespace berylreach::testing {

/// Is told of the traffic and of the events of a World, in the order in which
/// they happen.
class WorldObserver {
 public:
  virtual ~WorldObserver() = default;

  /// A message left `from` for `to` and will not be lost on the way, but for
  /// faults that are injected.
  virtual void OnPeerMessage(const std::string& from, const std::string& to,
                             const model::PeerMessage& message) = 0;
  virtual void OnStoreCall(const std::string& host) = 0;
  /// Surround the handling of one event by one host core.
  virtual void OnEventBegin() = 0;
  virtual void OnEventEnd() = 0;
};

}  // namespace berylreach::testing
