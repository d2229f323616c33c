// A subrequest: the calls of a running request to the leaves of one service.
#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "berylreach/base/clock.h"
#include "berylreach/forward/configuration.h"
#include "berylreach/forward/leaf_record.h"
#include "berylreach/forward/message.h"

namespace berylreach::forward {

/// A call to a leaf that was sent for a subrequest.
struct SubrequestCall {
  CallId id = 0;
  std::shared_ptr<LeafRecord> leaf;
  base::TimePoint sent{};
  base::TimePoint hedge_at{};
  bool running = true;
  /// See StartLeafCall.
  bool sole_call = false;
};

/// The subrequest to one shard, or to the single service of a route that does
/// not scatter.
struct Subrequest {
  enum class State { kWaiting, kAnswered, kFailed };

  /// Position in Route::shards; 0 if the route does not scatter.
  std::size_t shard = 0;
  /// Null if the configuration does not have the service.
  const Service* service = nullptr;
  State state = State::kWaiting;
  /// Number of calls that ran or may have run.
  std::size_t attempts_used = 0;
  /// Number of calls that were rejected or not sent.
  std::size_t rejected = 0;
  std::vector<SubrequestCall> calls;
  /// Ids of the leaves that were called.
  std::vector<std::string> tried;
  std::optional<LeafReply> reply;
  /// The last signed failure answer of a leaf, which the caller gets if no leaf
  /// succeeds.
  std::optional<LeafReply> failure;
  /// Time of the next attempt to select a leaf, if none could be called at the
  /// last attempt.
  std::optional<base::TimePoint> retry_at;
  /// Whether the next call waits until a call of another subrequest has ended.
  bool deferred = false;
  /// Start of the period in which no leaf could be called.
  std::optional<base::TimePoint> waiting_since;

  std::size_t CountRunningCalls() const;

  /// Whether `route` allows another call of the subrequest.
  bool MayCallAgain(const Route& route) const;

  /// Describes the subrequest and its calls for the log, as "service: leaf
  /// state age" with "unanswered" or "failed" as the state and the age in
  /// milliseconds.
  std::string Describe(base::TimePoint now) const;
};

}  // namespace berylreach::forward
