// A leaf call from an entry host to the owner of the leaf.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "berylreach/model/call_id.h"
#include "berylreach/model/names.h"
#include "berylreach/model/request_kind.h"

namespace berylreach::model {

/// Asks the owner to run one call on one of its leaves.
struct LeafCall {
  CallId id;
  LeafName leaf;
  ServiceName service;
  RequestKind kind = RequestKind::kQuery;
  std::uint32_t priority = 0;
  std::uint32_t shard = 0;
  std::uint32_t shard_count = 0;
  /// Index version; 0 for orders, which run at the leaf's current state.
  std::uint64_t version = 0;
  std::string payload;
  std::string key;
  std::uint64_t fingerprint = 0;
  /// Remaining time. Relative, because the clocks of two hosts are not
  /// comparable.
  std::chrono::microseconds budget{0};
  /// The call is a hedge or retry and counts as extra load.
  bool extra = false;
  /// The fingerprint is suspect: the call must run with nothing else on the
  /// leaf.
  bool alone = false;
  /// The fingerprint has not been proven at the sender. Such calls of one
  /// fingerprint run on the leaf one after the other until one succeeds.
  bool canary = false;
  /// Answered with kNoSlot at once if the leaf has no free slot.
  bool no_wait = false;

  friend bool operator==(const LeafCall&, const LeafCall&) = default;
};

}  // namespace berylreach::model
