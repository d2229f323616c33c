// A shard that an answer does not cover.
#pragma once

#include <cstdint>
#include <string_view>

namespace berylreach::model {

/// Why a shard is missing from an answer.
enum class MissingReason : std::uint8_t {
  kNoReplica,    ///< No usable leaf holds the shard at the answer's version.
  kTimedOut,     ///< No leaf answered before the deadline.
  kOverloaded,   ///< All replicas refused for lack of capacity.
  kFailed,       ///< All replicas failed.
  kVersionGone,  ///< The index version was dropped while the query ran.
};

/// The name of `reason` in answers to callers, such as "timed_out".
std::string_view ToString(MissingReason reason);

/// One missing shard and why it is missing.
struct MissingShard {
  std::uint32_t shard = 0;
  MissingReason reason = MissingReason::kNoReplica;

  friend auto operator<=>(const MissingShard&, const MissingShard&) = default;
};

}  // namespace berylreach::model
