// Groups of shards that hosts run for each other.
#pragma once

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "berylreach/base/clock.h"
#include "berylreach/forward/leaf_record.h"

namespace berylreach::forward {

/// Shards of a request that another host runs.
struct ShardGroup {
  std::shared_ptr<LeafRecord> host;
  /// Runs the group if the host is lost; may be null.
  std::shared_ptr<LeafRecord> backup;
  /// Positions in Route::shards.
  std::vector<std::size_t> shards;
};

/// What a host runs of a request for another one.
struct ShardSubset {
  /// Positions in Route::shards.
  std::vector<std::size_t> shards;
  /// Shards that its answer may lack from `partial_at` on.
  std::size_t allowed_missing = 0;
  /// Shards that it may leave out without a call, so that those whose leaves
  /// are overloaded are called by a part of the requests only. All groups of a
  /// request together leave out `allowed_missing` at most.
  std::size_t may_skip = 0;
  base::TimePoint partial_at{};
  /// Another host that may have called the leaves was lost, so that all calls
  /// are extra ones.
  bool repeats = false;

  friend bool operator==(const ShardSubset&, const ShardSubset&) = default;
};

/// The answer of a host that ran a group of shards.
struct GroupReply {
  /// One signature for each shard that answered.
  std::vector<std::string> signatures;
  /// The greatest records of these shards.
  std::string records;

  friend bool operator==(const GroupReply&, const GroupReply&) = default;
};

/// Why a group has no answer.
enum class GroupFailure {
  /// The host runs nothing for this one, so the shards may be called from here.
  kDeclined,
  /// The host ran nothing, because it is full or too few leaves answer.
  kRefused,
  /// The host ran the group and had too few answers.
  kFailed,
  /// The host is gone or silent; leaves may have run calls of the group.
  kLost,
};

/// Expected time of a message to a host at this distance.
std::chrono::milliseconds TransitTime(Distance distance);

}  // namespace berylreach::forward
