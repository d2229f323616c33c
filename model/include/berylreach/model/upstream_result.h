// The outcome of a call to a leaf.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "berylreach/model/call_id.h"
#include "berylreach/model/holding.h"
#include "berylreach/model/leaf_reply.h"
#include "berylreach/model/names.h"

namespace berylreach::model {

/// The outcome of an UpstreamCall.
struct UpstreamResult {
  CallId id;
  LeafName leaf;
  LeafOutcome outcome = LeafOutcome::kNotSent;
  /// Incarnation that the leaf reported with the answer; 0 if unknown.
  std::uint64_t incarnation = 0;
  std::uint64_t version = 0;
  std::uint32_t shard = 0;
  std::uint32_t shard_count = 0;
  std::string result;
  /// Reported by the leaf with kOk and kVersionGone.
  std::vector<Holding> holdings;
  /// True if the leaf itself answered the call, so that the call no longer runs
  /// there whatever `outcome` is.
  bool call_ended = false;
  /// True if the connection was refused or reset before a byte was sent.
  bool connect_failed = false;
  std::chrono::milliseconds retry_after{0};

  friend bool operator==(const UpstreamResult&,
                         const UpstreamResult&) = default;
};

}  // namespace berylreach::model
