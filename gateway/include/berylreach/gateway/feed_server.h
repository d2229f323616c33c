// Serves changes of records to the hosts that follow this one.
#pragma once

#include <memory>
#include <string_view>
#include <vector>

#include "berylreach/forward/change_log.h"
#include "berylreach/gateway/server_connection.h"

namespace berylreach::gateway {

/// Path of the request `GET /feed?after=REVISION`. The answer comes with the
/// first change; 503 says that the host itself has no fresh view of the store.
inline constexpr std::string_view kFeedPath = "/feed";
/// End of a target that asks for an answer at once, with or without changes.
inline constexpr std::string_view kFeedNoWaitSuffix = "&wait=0";

/// Holds the requests of followers until there is news. All calls come from
/// the event loop's thread.
class FeedServer {
 public:
  explicit FeedServer(const base::Clock& clock) : clock_(clock) {}

  /// `target` begins with kFeedPath.
  void OnRequest(ServerConnection& connection, std::string_view target);

  forward::ChangeLog& log() { return log_; }
  /// Whether other hosts have asked for changes lately.
  bool HasFollowers() const;
  /// Tells waiting followers of changes in the log.
  void Publish();
  /// Whether this host's view of the store is fresh. Waiting followers are sent
  /// away when it ceases to be.
  void SetFresh(bool fresh);
  /// Answers followers that have waited for long.
  void CheckTimeouts();

 private:
  struct Waiting {
    std::weak_ptr<ServerConnection> connection;
    std::uint64_t revision = 0;
    base::TimePoint until{};
  };

  bool Answer(ServerConnection& connection, std::uint64_t revision);

  const base::Clock& clock_;
  forward::ChangeLog log_;
  bool fresh_ = false;
  base::TimePoint last_request_{};
  std::vector<Waiting> waiting_;
};

}  // namespace berylreach::gateway
