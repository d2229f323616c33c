// Serves the change feed: changes of the records in the store, for the hosts
// that read them from this host.
#pragma once

#include <memory>
#include <string_view>
#include <vector>

#include "berylreach/forward/change_log.h"
#include "berylreach/gateway/server_connection.h"

namespace berylreach::gateway {

/// Path of the request `GET /feed?after=REVISION`. The response is delayed
/// until there are changes after REVISION or the long poll times out. Status
/// 503 says that this host's own view of the store is stale.
inline constexpr std::string_view kFeedPath = "/feed";
/// End of a request target that asks for an immediate response, with or without
/// changes.
inline constexpr std::string_view kFeedNoWaitSuffix = "&wait=0";

/// Serves long polls: holds the requests of followers until there are changes.
/// All calls must come from the event loop's thread.
class FeedServer {
 public:
  explicit FeedServer(const base::Clock& clock) : clock_(clock) {}

  /// `target` begins with kFeedPath.
  void OnRequest(ServerConnection& connection, std::string_view target);

  forward::ChangeLog& log() { return log_; }
  /// Responds to the waiting followers for which the log has changes.
  void Publish();
  /// Sets whether this host's view of the store is fresh. When it becomes
  /// stale, waiting followers get status 503.
  void SetFresh(bool fresh);
  /// Responds without changes to followers whose long poll has timed out.
  void CheckTimeouts();

 private:
  /// A request of a follower that waits for changes after `revision`.
  struct PendingPoll {
    std::weak_ptr<ServerConnection> connection;
    std::uint64_t revision = 0;
    base::TimePoint respond_by{};
  };

  bool RespondIfChanged(ServerConnection& connection, std::uint64_t revision);

  const base::Clock& clock_;
  forward::ChangeLog log_;
  bool fresh_ = false;
  std::vector<PendingPoll> pending_polls_;
};

}  // namespace berylreach::gateway
