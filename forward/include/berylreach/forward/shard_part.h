// One shard of a running request.
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

/// A call that a part has sent.
struct PartCall {
  CallId id = 0;
  std::shared_ptr<LeafRecord> leaf;
  base::TimePoint sent{};
  base::TimePoint hedge_at{};
  bool running = true;
};

/// The state of one shard, or of the one service of a route that does not
/// scatter.
struct ShardPart {
  enum class State { kWaiting, kAnswered, kFailed };

  /// Position in Route::shards.
  std::size_t shard = 0;
  /// Null if the configuration does not have the service.
  const Service* service = nullptr;
  State state = State::kWaiting;
  /// Calls that ran or may have run.
  std::size_t attempts_used = 0;
  /// Calls that were rejected or not sent.
  std::size_t rejected = 0;
  std::vector<PartCall> calls;
  /// Ids of the leaves that were called.
  std::vector<std::string> tried;
  std::optional<LeafReply> reply;
  /// A leaf's own failure, passed through if nothing better comes.
  std::optional<LeafReply> failure;
  /// When a call that found no leaf is tried again.
  std::optional<base::TimePoint> retry_at;
  /// Its next call waits for the end of another part's.
  bool held = false;
  /// Since when no leaf may be called.
  std::optional<base::TimePoint> waiting_since;

  std::size_t CountRunningCalls() const;

  /// Whether a retry stays within what `route` allows.
  bool MayCallAgain(const Route& route) const;

  /// The shard and what became of its calls, for the log: "shard: leaf state
  /// age", with ages in milliseconds.
  std::string Describe(base::TimePoint now) const;
};

}  // namespace berylreach::forward
