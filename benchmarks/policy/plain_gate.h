// A gate whose limit follows another cold-start rule than the product's.
#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>

#include "berylreach/limits/call_queue.h"
#include "berylreach/limits/concurrency_limit.h"
#include "call_gate.h"
#include "limiter_options.h"

namespace berylreach::bench {

// Queue and evidence of a cold start as in limits::LeafGate, without leases,
// takeovers, draining and the refusal of calls whose expected wait is too long.
// ColdRule::kStepwise shows what these omissions do to the figures.
class PlainGate final : public CallGate {
 public:
  PlainGate(const base::Clock& clock, model::LeafName leaf, std::uint32_t slots,
            ColdRule rule);

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
    return rule_ != ColdRule::kNone && limit_.cold();
  }

 private:
  struct Running {
    base::TimePoint started_at;
    std::uint64_t generation = 0;
  };

  std::uint32_t Limit() const;
  void StartCalls(limits::Actions& out);
  void ApplyToLimit(const model::UpstreamResult& result, const Running& call);
  model::LeafReply MakeReply(const model::CallId& id,
                             model::LeafOutcome outcome) const;

  const base::Clock& clock_;
  model::LeafName leaf_;
  std::uint32_t slots_;
  ColdRule rule_;
  limits::ConcurrencyLimit limit_;
  limits::CallQueue queue_;
  std::unordered_map<model::CallId, Running> running_;
  std::uint64_t incarnation_ = 0;
  bool open_ = true;
};

}  // namespace berylreach::bench
