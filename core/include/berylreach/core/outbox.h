// Collects the actions of an event and the messages that this host sends to
// itself.
#pragma once

#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "berylreach/core/action.h"
#include "berylreach/model/member.h"
#include "berylreach/model/names.h"
#include "berylreach/model/peer_message.h"

namespace berylreach::core {

/// Holds actions in the order in which they were emitted. A message of this
/// host to itself does not become an action; it is processed within the same
/// event.
class Outbox {
 public:
  explicit Outbox(model::HostName self) : self_(std::move(self)) {}

  const model::HostName& self() const { return self_; }

  /// Sends `message` to `to`, which may be this host.
  void Send(const model::HostName& to, model::PeerMessage message);

  /// Sends `message` to every member, this host included.
  void SendToAll(const std::vector<model::Member>& members,
                 const model::PeerMessage& message);

  void Emit(Action action) { actions_.push_back(std::move(action)); }

  /// Records an event in the timeline.
  void Record(std::string type, std::string subject, std::string detail);

  /// Removes and returns the next message of this host to itself.
  std::optional<model::PeerMessage> NextLocal();

  /// Removes and returns all actions.
  Actions Take();

 private:
  model::HostName self_;
  std::deque<model::PeerMessage> local_;
  Actions actions_;
};

}  // namespace berylreach::core
