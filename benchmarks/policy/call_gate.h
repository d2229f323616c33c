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

  /// A call for the leaf arrived.
  virtual void OnCall(const model::LeafCall& call, limits::Actions& out) = 0;
  /// The sender withdrew a call. A queued call is answered; a running one is
  /// cancelled on the leaf, or continues if `only_if_queued` is set. Unknown
  /// ids are ignored.
  virtual void OnCancel(const model::CallId& id, bool only_if_queued,
                        limits::Actions& out) = 0;
  /// Handles the outcome of a call that was started by limits::StartCall.
  virtual void OnResult(const model::UpstreamResult& result,
                        limits::Actions& out) = 0;
  /// There is evidence of a cold start from a source other than the results of
  /// calls, such as the leaf's status.
  virtual void OnColdEvidence(limits::Actions& out) = 0;
  /// While the gate is closed, calls wait in the queue.
  virtual void SetOpen(bool open, limits::Actions& out) = 0;
  /// Handles the deadlines that have passed, such as those of queued calls.
  virtual void Tick(limits::Actions& out) = 0;
  /// When Tick must be called next; empty if it need not be called.
  virtual std::optional<base::TimePoint> NextWakeup() const = 0;
  /// Whether no call has completed since the gate was created or the last
  /// evidence of a cold start; always false with ColdStartRule::kNone.
  virtual bool cold() const = 0;
};

}  // namespace berylreach::bench
