// Receiver of results from leaves.
#pragma once

#include "berylreach/model/upstream_result.h"
#include "berylreach/transport/leaf_status.h"

namespace berylreach::transport {

/// Called on the upstream thread; must not block.
class UpstreamHandler {
 public:
  virtual ~UpstreamHandler() = default;

  /// Exactly one per accepted call.
  virtual void OnResult(model::UpstreamResult result) = 0;

  /// One per status read.
  virtual void OnStatus(LeafStatus status) = 0;
};

}  // namespace berylreach::transport
