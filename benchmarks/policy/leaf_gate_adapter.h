// Adapter of limits::LeafGate to the interface CallGate.
#pragma once

#include <optional>
#include <utility>

#include "berylreach/limits/leaf_gate.h"
#include "call_gate.h"

namespace berylreach::bench {

/// The gate that the hosts use in production. It is open and holds a lease that
/// never expires.
class LeafGateAdapter final : public CallGate {
 public:
  LeafGateAdapter(const base::Clock& clock, model::LeafName leaf,
                  std::uint32_t slots)
      : gate_(clock, std::move(leaf), slots) {
    limits::Actions no_actions;
    gate_.SetLeaseExpiry(base::TimePoint::max(), no_actions);
    gate_.SetOpen(true, no_actions);
  }

  void OnCall(const model::LeafCall& call, limits::Actions& out) override {
    gate_.OnCall(call, out);
  }
  void OnCancel(const model::CallId& id, bool only_if_queued,
                limits::Actions& out) override {
    if (only_if_queued) {
      gate_.CancelIfQueued(id, out);
    } else {
      gate_.OnCancel(id, out);
    }
  }
  void OnResult(const model::UpstreamResult& result,
                limits::Actions& out) override {
    gate_.OnResult(result, out);
  }
  void OnColdEvidence(limits::Actions& out) override {
    gate_.OnColdEvidence(out);
  }
  void SetOpen(bool open, limits::Actions& out) override {
    gate_.SetOpen(open, out);
  }
  void Tick(limits::Actions& out) override { gate_.Tick(out); }
  std::optional<base::TimePoint> NextWakeup() const override {
    return gate_.NextWakeup();
  }
  bool cold() const override { return gate_.cold(); }

 private:
  limits::LeafGate gate_;
};

}  // namespace berylreach::bench
