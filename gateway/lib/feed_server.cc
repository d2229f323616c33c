// Long polls of followers.
#include "berylreach/gateway/feed_server.h"

#include <charconv>
#include <utility>

#include "berylreach/gateway/feed_codec.h"
#include "response_bytes.h"

namespace berylreach::gateway {
namespace {

/// Longest wait of a follower. Without an answer by then it takes this host for
/// dead or frozen, and it must still learn of changes within seconds.
constexpr std::chrono::seconds kLongestWait{2};

/// A follower asks again at once, so one that has not for this time is gone.
constexpr std::chrono::seconds kFollowerLifetime{6};

void Respond(ServerConnection& connection, int status, std::string_view body) {
  connection.Respond(ResponseBytes(status, ReasonOf(status), "", body, true),
                     true);
}

void AnswerNoChange(ServerConnection& connection, std::uint64_t revision) {
  const forward::ChangeSet none{.revision = revision};
  Respond(connection, 200, FormatChangeSet(none));
}

}  // namespace

void FeedServer::OnRequest(ServerConnection& connection,
                           std::string_view target) {
  constexpr std::string_view parameter = "after=";
  last_request_ = clock_.Now();
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
  if (Answer(connection, revision)) return;
  if (target.ends_with(kFeedNoWaitSuffix)) {
    AnswerNoChange(connection, revision);
    return;
  }
  waiting_.push_back(
      {connection.weak_from_this(), revision, clock_.Now() + kLongestWait});
}

bool FeedServer::Answer(ServerConnection& connection, std::uint64_t revision) {
  const auto set = log_.Since(revision);
  if (!set) return false;
  Respond(connection, 200, FormatChangeSet(*set));
  return true;
}

bool FeedServer::HasFollowers() const {
  return last_request_ != base::TimePoint() &&
         clock_.Now() - last_request_ < kFollowerLifetime;
}

void FeedServer::Publish() {
  for (Waiting& waiting : std::exchange(waiting_, {})) {
    const auto connection = waiting.connection.lock();
    if (!connection || connection->closed()) continue;
    if (!Answer(*connection, waiting.revision))
      waiting_.push_back(std::move(waiting));
  }
}

void FeedServer::SetFresh(bool fresh) {
  if (std::exchange(fresh_, fresh) == fresh || fresh) return;
  for (const Waiting& waiting : std::exchange(waiting_, {})) {
    const auto connection = waiting.connection.lock();
    if (connection && !connection->closed()) Respond(*connection, 503, "");
  }
}

void FeedServer::CheckTimeouts() {
  const base::TimePoint now = clock_.Now();
  for (Waiting& waiting : std::exchange(waiting_, {})) {
    const auto connection = waiting.connection.lock();
    if (!connection || connection->closed()) continue;
    if (now >= waiting.until) {
      AnswerNoChange(*connection, waiting.revision);
    } else {
      waiting_.push_back(std::move(waiting));
    }
  }
}

}  // namespace berylreach::gateway
