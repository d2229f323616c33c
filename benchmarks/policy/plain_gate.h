// Simplified leaf gate with a choice of rules by which the concurrency limit
// rises after a cold start.
#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>

#include "berylreach/limits/call_queue.h"
#include "berylreach/limits/concurrency_limit.h"
#include "call_gate.h"
#include "limiter_options.h"

namespace berylreach::bench {

/// Queues calls and recognizes a cold start like limits::LeafGate, but has no
/// leases, takeovers, draining or refusal of calls whose expected wait is too
/// long. With ColdStartRule::kStepwise the limit rises as in limits::LeafGate,
/// so that a comparison with that gate shows the effect of these omissions.
class PlainGate final : public CallGate {
 public:
  PlainGate(const base::Clock& clock, model::LeafName leaf, std::uint32_t slots,
            ColdStartRule rule);

  void OnCall(const model::LeafCall& call, limits::Actions& out) override;
  void OnCancel(const model::CallId& id, bool only_if_queued,
                limits::Actions& out) override;
  void OnResult(const model::UpstreamResult& result,
                limits::Actions& out) override;
  void OnColdEvidence(limits::Actions& out) override;
  void SetOpen(bool open, limits::Actions& out) override;
  void Tick(limits::Actions& out) override;
  std::optional<base::TimePoint> NextWakeup() const override;
  bool cold() const override {
    return rule_ != ColdStartRule::kNone && limit_.cold();
  }

 private:
  struct RunningCall {
    base::TimePoint started_at;
    /// ConcurrencyLimit::generation at the start of the call.
    std::uint64_t generation = 0;
  };

  /// Returns the concurrency limit under the cold-start rule.
  std::uint32_t Limit() const;
  void StartCalls(limits::Actions& out);
  /// Raises, keeps or resets the limit after the result of `call`.
  void ApplyToLimit(const model::UpstreamResult& result,
                    const RunningCall& call);
  model::LeafReply MakeReply(const model::CallId& id,
                             model::LeafOutcome outcome) const;

  const base::Clock& clock_;
  model::LeafName leaf_;
  std::uint32_t slots_;
  ColdStartRule rule_;
  limits::ConcurrencyLimit limit_;
  limits::CallQueue queue_;
  std::unordered_map<model::CallId, RunningCall> running_;
  /// Last reported incarnation of the leaf; 0 before the first report.
  std::uint64_t incarnation_ = 0;
  /// Whether queued calls may start.
  bool open_ = true;
};

}  // namespace berylreach::bench
