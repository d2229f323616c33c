// Serves the change feed: changes of the records in the store, for the hosts
// that read them from this host.
#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "berylreach/forward/change_log.h"
#include "berylreach/gateway/server_connection.h"

namespace berylreach::gateway {

/// Path of the request `GET /feed?after=REVISION&era=ERA&known=KNOWN&wait=MS`.
/// The response is delayed until there are changes after REVISION of ERA, but
/// by no more than MS milliseconds. Without MS, as in polls of older builds, it
/// is delayed for as long as a poll may wait. Status 503 says that this host's
/// own view of the store is stale, or older than the era KNOWN, the latest that
/// the follower has heard of.
inline constexpr std::string_view kFeedPath = "/feed";

/// Returns the target of a poll by a follower whose view is at `view`, and that
/// may be held for `wait`.
std::string FeedTarget(forward::StorePosition view, std::uint64_t known_era,
                       std::chrono::milliseconds wait);

/// Serves long polls: holds the requests of followers until there are changes.
/// All calls must come from the event loop's thread.
class FeedServer {
 public:
  explicit FeedServer(const base::Clock& clock) : clock_(clock) {}

  /// `target` begins with kFeedPath.
  void OnRequest(ServerConnection& connection, std::string_view target);

  forward::ChangeLog& log() { return log_; }
  /// Sets the function that gets the era of the store when a follower knows of
  /// a later one than this host's log.
  void SetOnLaterEra(std::function<void(std::uint64_t)> on_later_era) {
    on_later_era_ = std::move(on_later_era);
  }
  /// Responds to the waiting followers for which the log has changes.
  void Publish();
  /// Sets whether this host's view of the store is fresh. When it becomes
  /// stale, waiting followers get status 503.
  void SetFresh(bool fresh);
  /// Sets the time before which all acknowledged changes are in this host's
  /// view.
  void SetViewCurrentAt(base::TimePoint at) { view_current_at_ = at; }
  /// Whether other hosts have polled lately.
  bool has_followers() const;
  /// Responds without changes to followers whose long poll has timed out.
  void CheckTimeouts();

 private:
  /// A request of a follower.
  struct Poll {
    forward::FollowerState follower;
    base::TimePoint arrived{};
    /// Time for which it may be held while there are no changes.
    std::chrono::milliseconds wait{};
  };

  /// A poll that waits for changes.
  struct PendingPoll {
    std::weak_ptr<ServerConnection> connection;
    Poll poll;
  };

  forward::FollowerState ParseFollower(std::string_view target) const;
  bool RespondIfChanged(ServerConnection& connection, const Poll& poll);
  /// Responds that there are no changes, unless this host's view is behind the
  /// follower's.
  void RespondNoChange(ServerConnection& connection, const Poll& poll);
  /// Responds to `poll` with `set`, and states how current this host's view is,
  /// and how old the changes may be.
  void RespondWith(ServerConnection& connection, forward::ChangeSet set,
                   const Poll& poll,
                   std::optional<base::TimePoint> acknowledged_after) const;

  const base::Clock& clock_;
  forward::ChangeLog log_;
  std::function<void(std::uint64_t)> on_later_era_;
  bool fresh_ = false;
  base::TimePoint view_current_at_{};
  std::optional<base::TimePoint> polled_at_;
  std::vector<PendingPoll> pending_polls_;
};

}  // namespace berylreach::gateway
