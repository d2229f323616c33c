// Kinds of caller requests.
#pragma once

#include <cstdint>

namespace berylreach::model {

/// What a caller asks for.
enum class RequestKind : std::uint8_t {
  kQuery,   ///< Fans out to every shard; idempotent.
  kLookup,  ///< Reads one record from one shard; idempotent.
  kOrder,   ///< Changes data at the leaf; must run at most once.
};

}  // namespace berylreach::model
