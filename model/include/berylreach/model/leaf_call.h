// A leaf call from an entry host to the owner of the leaf.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "berylreach/model/call_id.h"
#include "berylreach/model/names.h"
#include "berylreach/model/request_kind.h"

namespace berylreach::model {

/// Asks the owner of a leaf to run one call on it.
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
  /// Time remaining until the deadline. It is relative because the clocks of
  /// two hosts are not comparable.
  std::chrono::microseconds budget{0};
  /// True if the call is a hedge or a retry and so counts as extra load.
  bool is_extra_load = false;
  /// True if the fingerprint is suspect: no other call may run on the leaf at
  /// the same time.
  bool exclusive = false;
  /// True if the fingerprint is unproven at the sender, that is, not yet known
  /// to be harmless. Such calls of one fingerprint run on the leaf one at a
  /// time until one succeeds.
  bool canary = false;
  /// True if the owner must answer with kNoSlot, rather than queue the call,
  /// when the leaf has no free slot.
  bool no_wait = false;

  friend bool operator==(const LeafCall&, const LeafCall&) = default;
};

}  // namespace berylreach::model
