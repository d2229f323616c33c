// Collection of actions and local messages.
#include "berylreach/core/outbox.h"

#include <utility>

namespace berylreach::core {

void Outbox::Send(const model::HostName& to, model::PeerMessage message) {
  if (to == self_) {
    local_.push_back(std::move(message));
    return;
  }
  actions_.push_back(SendToPeer{to, std::move(message)});
}

void Outbox::SendToAll(const std::vector<model::Member>& members,
                       const model::PeerMessage& message) {
  for (const model::Member& member : members) Send(member.host, message);
}

void Outbox::Record(std::string type, std::string subject, std::string detail) {
  actions_.push_back(
      RecordEvent{std::move(type), std::move(subject), std::move(detail)});
}

std::optional<model::PeerMessage> Outbox::NextLocal() {
  if (local_.empty()) return std::nullopt;
  model::PeerMessage message = std::move(local_.front());
  local_.pop_front();
  return message;
}

Actions Outbox::Take() { return std::exchange(actions_, {}); }

}  // namespace berylreach::core
