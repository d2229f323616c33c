// Handles the long polls of followers.
#include "berylreach/gateway/feed_server.h"

#include <charconv>
#include <utility>

#include "berylreach/gateway/feed_codec.h"
#include "response_bytes.h"

namespace berylreach::gateway {
namespace {

/// Longest time for which a poll is held. A follower that gets no response for
/// longer assumes that this host is dead or unresponsive, and must then learn
/// of changes from elsewhere within seconds.
constexpr std::chrono::seconds kMaxPollTime{2};

void Respond(ServerConnection& connection, int status, std::string_view body) {
  connection.Respond(ResponseBytes(status, ReasonOf(status), "", body, true),
                     true);
}

void RespondNoChange(ServerConnection& connection, std::uint64_t revision) {
  const forward::ChangeSet none{.revision = revision};
  Respond(connection, 200, FormatChangeSet(none));
}

}  // namespace

void FeedServer::OnRequest(ServerConnection& connection,
                           std::string_view target) {
  constexpr std::string_view parameter = "after=";
  std::uint64_t revision = 0;
  const std::size_t at = target.find(parameter);
  if (at != std::string_view::npos) {
    const char* begin = target.data() + at + parameter.size();
    std::from_chars(begin, target.data() + target.size(), revision);
  }
  if (!fresh_) {
    Respond(connection, 503, "");
    return;
  }
  if (RespondIfChanged(connection, revision)) return;
  if (target.ends_with(kFeedNoWaitSuffix)) {
    RespondNoChange(connection, revision);
    return;
  }
  pending_polls_.push_back(
      {connection.weak_from_this(), revision, clock_.Now() + kMaxPollTime});
}

bool FeedServer::RespondIfChanged(ServerConnection& connection,
                                  std::uint64_t revision) {
  const auto set = log_.Since(revision);
  if (!set) return false;
  Respond(connection, 200, FormatChangeSet(*set));
  return true;
}

void FeedServer::Publish() {
  for (PendingPoll& poll : std::exchange(pending_polls_, {})) {
    const auto connection = poll.connection.lock();
    if (!connection || connection->closed()) continue;
    if (!RespondIfChanged(*connection, poll.revision))
      pending_polls_.push_back(std::move(poll));
  }
}

void FeedServer::SetFresh(bool fresh) {
  if (std::exchange(fresh_, fresh) == fresh || fresh) return;
  for (const PendingPoll& poll : std::exchange(pending_polls_, {})) {
    const auto connection = poll.connection.lock();
    if (connection && !connection->closed()) Respond(*connection, 503, "");
  }
}

void FeedServer::CheckTimeouts() {
  const base::TimePoint now = clock_.Now();
  for (PendingPoll& poll : std::exchange(pending_polls_, {})) {
    const auto connection = poll.connection.lock();
    if (!connection || connection->closed()) continue;
    if (now >= poll.respond_by) {
      RespondNoChange(*connection, poll.revision);
    } else {
      pending_polls_.push_back(std::move(poll));
    }
  }
}

}  // namespace berylreach::gateway
