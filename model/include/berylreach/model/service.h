// A search service as described by the document.
#pragma once

#include <cstdint>
#include <vector>

#include "berylreach/model/leaf.h"
#include "berylreach/model/names.h"
#include "berylreach/model/request_kind.h"

namespace berylreach::model {

/// A search service and its leaves. The document does not say which shard a
/// leaf holds; the leaf itself reports it.
struct Service {
  ServiceName name;
  /// Priority when capacity is short; 0 is the highest.
  std::uint32_t priority = 0;
  /// Number of shards. Used to compute coverage only until a leaf has reported
  /// its holdings.
  std::uint32_t shards = 1;
  /// The request kinds that the service accepts.
  std::vector<RequestKind> accepts;
  std::vector<Leaf> leaves;

  friend bool operator==(const Service&, const Service&) = default;
};

}  // namespace berylreach::model
