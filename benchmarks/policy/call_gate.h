// Interface of the gates that the limiter comparisons run.
#pragma once

#include <optional>

#include "berylreach/base/clock.h"
#include "berylreach/limits/action.h"
#include "berylreach/model/call_id.h"
#include "berylreach/model/leaf_call.h"
#include "berylreach/model/upstream_result.h"

namespace berylreach::bench {

/// Decides which of the calls that one host sends run on a leaf. The functions
/// are those of limits::LeafGate that the comparisons use.
class CallGate {
 public:
  virtual ~CallGate() = default;

  virtual void OnCall(const model::LeafCall& call, limits::Actions& out) = 0;
  virtual void OnCancel(const model::CallId& id, bool only_if_queued,
                        limits::Actions& out) = 0;
  virtual void OnResult(const model::UpstreamResult& result,
                        limits::Actions& out) = 0;
  virtual void OnColdEvidence(limits::Actions& out) = 0;
  virtual void SetOpen(bool open, limits::Actions& out) = 0;
  virtual void Tick(limits::Actions& out) = 0;
  virtual std::optional<base::TimePoint> NextWakeup() const = 0;
  virtual bool cold() const = 0;
};

}  // namespace berylreach::bench
