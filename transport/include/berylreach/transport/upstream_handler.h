// Receiver of results from leaves.
#pragma once

#include "berylreach/model/leaf_status.h"
#include "berylreach/model/upstream_result.h"

namespace berylreach::transport {

/// Called on the upstream thread; must not block.
class UpstreamHandler {
 public:
  virtual ~UpstreamHandler() = default;

  /// Exactly one per accepted call.
  virtual void OnResult(model::UpstreamResult result) = 0;

  /// One per status read.
  virtual void OnStatus(model::LeafStatus status) = 0;
};

}  // namespace berylreach::transport
