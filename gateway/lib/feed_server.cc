// Handles the long polls of followers.
#include "berylreach/gateway/feed_server.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <utility>

#include "berylreach/gateway/feed_codec.h"
#include "response_bytes.h"

namespace berylreach::gateway {
namespace {

/// Longest time for which a poll is held. A follower that gets no response for
/// longer assumes that this host is dead or unresponsive, and must then learn
/// of changes from elsewhere within seconds.
constexpr std::chrono::milliseconds kMaxPollTime{2000};

/// A follower polls again soon after each response.
constexpr std::chrono::seconds kMaxTimeBetweenPolls{3};

/// Limits the age that is stated for this host's view.
constexpr std::chrono::hours kMaxViewAge{1};

void Respond(ServerConnection& connection, int status, std::string_view body) {
  connection.Respond(ResponseBytes(status, ReasonOf(status), "", body, true),
                     true);
}

constexpr std::string_view kEraParameter = "&era=";
constexpr std::string_view kWaitParameter = "&wait=";

bool HasParameter(std::string_view target, std::string_view name) {
  return target.find(name) != std::string_view::npos;
}

std::uint64_t NumberParameter(std::string_view target, std::string_view name) {
  std::uint64_t number = 0;
  const std::size_t at = target.find(name);
  if (at == std::string_view::npos) return number;
  std::from_chars(target.data() + at + name.size(),
                  target.data() + target.size(), number);
  return number;
}

/// Time for which a poll may be held; polls of older builds may not state it.
std::chrono::milliseconds PollTimeOf(std::string_view target) {
  if (!HasParameter(target, kWaitParameter)) return kMaxPollTime;
  const auto max = static_cast<std::uint64_t>(kMaxPollTime.count());
  return std::chrono::milliseconds(
      std::min(NumberParameter(target, kWaitParameter), max));
}

}  // namespace

std::string FeedTarget(forward::StorePosition view, std::uint64_t known_era,
                       std::chrono::milliseconds wait) {
  return std::string(kFeedPath) + "?after=" + std::to_string(view.revision) +
         std::string(kEraParameter) + std::to_string(view.era) +
         "&known=" + std::to_string(known_era) + std::string(kWaitParameter) +
         std::to_string(wait.count());
}

forward::FollowerState FeedServer::ParseFollower(
    std::string_view target) const {
  // Builds that know no eras state none. Their view is taken for one of the
  // present era; otherwise they would get all records at each poll.
  return {.view = {.era = HasParameter(target, kEraParameter)
                              ? NumberParameter(target, kEraParameter)
                              : log_.position().era,
                   .revision = NumberParameter(target, "?after=")},
          .known_era = NumberParameter(target, "&known=")};
}

void FeedServer::OnRequest(ServerConnection& connection,
                           std::string_view target) {
  const forward::FollowerState follower = ParseFollower(target);
  if (log_.IsBehind(follower) && on_later_era_)
    on_later_era_(follower.known_era);
  if (!fresh_) {
    Respond(connection, 503, "");
    return;
  }
  const Poll poll{follower, clock_.Now(), PollTimeOf(target)};
  polled_at_ = poll.arrived;
  if (RespondIfChanged(connection, poll)) return;
  if (poll.wait == std::chrono::milliseconds(0)) {
    RespondNoChange(connection, poll);
    return;
  }
  pending_polls_.push_back({connection.weak_from_this(), poll});
}

bool FeedServer::RespondIfChanged(ServerConnection& connection,
                                  const Poll& poll) {
  auto set = log_.ChangesFor(poll.follower);
  if (!set) return false;
  RespondWith(connection, std::move(*set), poll,
              log_.AcknowledgedAfter(poll.follower.view));
  return true;
}

void FeedServer::RespondNoChange(ServerConnection& connection,
                                 const Poll& poll) {
  if (auto none = log_.NoChangesFor(poll.follower)) {
    RespondWith(connection, std::move(*none), poll, std::nullopt);
  } else {
    Respond(connection, 503, "");
  }
}

void FeedServer::RespondWith(
    ServerConnection& connection, forward::ChangeSet set, const Poll& poll,
    std::optional<base::TimePoint> acknowledged_after) const {
  const auto after_arrival = [&poll](base::TimePoint at) {
    return std::chrono::floor<std::chrono::milliseconds>(
        std::max<base::Duration>(at - poll.arrived, -kMaxViewAge));
  };
  set.current_after_arrival = after_arrival(view_current_at_);
  if (acknowledged_after)
    set.changes_after_arrival = after_arrival(*acknowledged_after);
  set.poll_wait = poll.wait;
  Respond(connection, 200, FormatChangeSet(set));
}

void FeedServer::Publish() {
  for (PendingPoll& pending : std::exchange(pending_polls_, {})) {
    const auto connection = pending.connection.lock();
    if (!connection || connection->closed()) continue;
    if (!RespondIfChanged(*connection, pending.poll))
      pending_polls_.push_back(std::move(pending));
  }
}

void FeedServer::SetFresh(bool fresh) {
  if (std::exchange(fresh_, fresh) == fresh || fresh) return;
  for (const PendingPoll& pending : std::exchange(pending_polls_, {})) {
    const auto connection = pending.connection.lock();
    if (connection && !connection->closed()) Respond(*connection, 503, "");
  }
}

bool FeedServer::has_followers() const {
  return polled_at_ && clock_.Now() < *polled_at_ + kMaxTimeBetweenPolls;
}

void FeedServer::CheckTimeouts() {
  const base::TimePoint now = clock_.Now();
  for (PendingPoll& pending : std::exchange(pending_polls_, {})) {
    const auto connection = pending.connection.lock();
    if (!connection || connection->closed()) continue;
    if (now >= pending.poll.arrived + pending.poll.wait) {
      RespondNoChange(*connection, pending.poll);
    } else {
      pending_polls_.push_back(std::move(pending));
    }
  }
}

}  // namespace berylreach::gateway
