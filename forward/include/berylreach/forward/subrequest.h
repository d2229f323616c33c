// State of one shard of a running request.
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

/// A call that was sent for a part.
struct PartCall {
  CallId id = 0;
  std::shared_ptr<LeafRecord> leaf;
  base::TimePoint sent{};
  base::TimePoint hedge_at{};
  bool running = true;
};

/// State of one shard, or of the single service of a route that does not
/// scatter.
struct ShardPart {
  enum class State { kWaiting, kAnswered, kFailed };

  /// Position in Route::shards.
  std::size_t shard = 0;
  /// Null if the configuration does not have the service.
  const Service* service = nullptr;
  State state = State::kWaiting;
  /// Number of calls that ran or may have run.
  std::size_t attempts_used = 0;
  /// Number of calls that were rejected or not sent.
  std::size_t rejected = 0;
  std::vector<PartCall> calls;
  /// Ids of the leaves that were called.
  std::vector<std::string> tried;
  std::optional<LeafReply> reply;
  /// A leaf's own failure answer, passed through if there is no better answer.
  std::optional<LeafReply> failure;
  /// Time of the next attempt after no leaf could be called.
  std::optional<base::TimePoint> retry_at;
  /// Whether its next call waits until the call of another part ends.
  bool held = false;
  /// Start of the period in which no leaf could be called.
  std::optional<base::TimePoint> waiting_since;

  std::size_t CountRunningCalls() const;

  /// Whether `route` allows another call.
  bool MayCallAgain(const Route& route) const;

  /// Describes the shard and its calls for the log, as "shard: leaf state age"
  /// with the age in milliseconds.
  std::string Describe(base::TimePoint now) const;
};

}  // namespace berylreach::forward
