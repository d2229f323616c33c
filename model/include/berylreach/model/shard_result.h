// The result of one shard.
#pragma once

#include <cstdint>
#include <string>

namespace berylreach::model {

/// The contribution of one shard to an answer.
struct ShardResult {
  std::uint32_t shard = 0;
  /// The leaf's result, passed through as JSON text.
  std::string result;

  friend bool operator==(const ShardResult&, const ShardResult&) = default;
};

}  // namespace berylreach::model
