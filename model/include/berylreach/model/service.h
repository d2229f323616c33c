// A search service as described by the document.
#pragma once

#include <cstdint>
#include <vector>

#include "berylreach/model/leaf.h"
#include "berylreach/model/names.h"
#include "berylreach/model/request_kind.h"

namespace berylreach::model {

/// A search service and its leaves. Which shard a leaf holds is reported by the
/// leaf itself.
struct Service {
  ServiceName name;
  /// 0 is served first when capacity is short.
  std::uint32_t priority = 0;
  /// Number of shards, used for coverage only while no leaf has reported its
  /// holdings.
  std::uint32_t shards = 1;
  /// Request kinds that the service accepts.
  std::vector<RequestKind> accepts;
  std::vector<Leaf> leaves;

  friend bool operator==(const Service&, const Service&) = default;
};

}  // namespace berylreach::model
