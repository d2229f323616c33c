// Groups of shards that hosts run for other hosts.
#pragma once

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "berylreach/base/clock.h"
#include "berylreach/forward/leaf_record.h"

namespace berylreach::forward {

/// A group of a request's shards that another host runs.
struct ShardGroup {
  std::shared_ptr<LeafRecord> host;
  /// Runs the group if `host` is lost; may be null.
  std::shared_ptr<LeafRecord> backup;
  /// Positions in Route::shards.
  std::vector<std::size_t> shards;
};

/// The group of shards that a host is asked to run for another host, and the
/// limits of its answer.
struct ShardSubset {
  /// Positions in Route::shards.
  std::vector<std::size_t> shards;
  /// Number of shards that the group's answer may lack from `partial_at` on.
  std::size_t allowed_missing = 0;
  /// Number of shards that the host may leave out without a call, so that only
  /// some of the requests call shards whose leaves are overloaded. All groups
  /// of a request together leave out at most `allowed_missing` shards.
  std::size_t may_skip = 0;
  /// Time from which the host reports the answers so far.
  base::TimePoint partial_at{};
  /// A host that may have called the leaves was lost, so all calls count as
  /// extra calls.
  bool repeats = false;

  friend bool operator==(const ShardSubset&, const ShardSubset&) = default;
};

/// The answer of a host that ran a group of shards.
struct GroupReply {
  /// One signature for each shard that answered.
  std::vector<std::string> signatures;
  /// The greatest records of the answered shards.
  std::string records;

  friend bool operator==(const GroupReply&, const GroupReply&) = default;
};

/// Why a group got no answer.
enum class GroupFailure {
  /// The host has run nothing and will not, for example because it is stopping;
  /// this host may call the leaves itself.
  kDeclined,
  /// The host has run nothing, because it has no capacity left or too few
  /// leaves are available.
  kRefused,
  /// The host ran the group and got too few answers.
  kFailed,
  /// The connection to the host was lost, or the host does not answer; leaves
  /// may have run calls of the group.
  kLost,
};

/// Expected transit time of a message to a host at this distance.
std::chrono::milliseconds TransitTime(Distance distance);

}  // namespace berylreach::forward
