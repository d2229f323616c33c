// A call that the owner of a leaf sends to the leaf.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "berylreach/base/clock.h"
#include "berylreach/model/call_id.h"
#include "berylreach/model/names.h"
#include "berylreach/model/request_kind.h"

namespace berylreach::model {

/// One HTTP call to a leaf.
struct UpstreamCall {
  CallId id;
  LeafName leaf;
  /// IP address and port of the leaf.
  std::string address;
  /// Maximum number of connections to this leaf.
  std::uint32_t max_connections = 1;
  ServiceName service;
  RequestKind kind = RequestKind::kQuery;
  std::uint32_t shard = 0;
  std::uint64_t version = 0;
  std::string payload;
  std::string key;
  /// The earlier of the deadline and the expiry of the lease. No byte may be
  /// written to the leaf after this time.
  base::TimePoint not_after;
  /// Deadline that is sent to the leaf, in wall-clock time.
  std::chrono::system_clock::time_point deadline;

  friend bool operator==(const UpstreamCall&, const UpstreamCall&) = default;
};

}  // namespace berylreach::model
