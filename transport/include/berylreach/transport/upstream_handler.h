// Interface through which an UpstreamClient delivers results and statuses.
#pragma once

#include "berylreach/model/leaf_status.h"
#include "berylreach/model/upstream_result.h"

namespace berylreach::transport {

/// Receives the results of calls and the statuses of leaves. All methods are
/// called on the upstream thread and must not block.
class UpstreamHandler {
 public:
  virtual ~UpstreamHandler() = default;

  /// Called exactly once for each accepted call.
  virtual void OnResult(model::UpstreamResult result) = 0;

  /// Called with the result of each status read of an owned leaf.
  virtual void OnStatus(model::LeafStatus status) = 0;
};

}  // namespace berylreach::transport
