// Leaf behind the gate of one host.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>
#include <utility>

#include "berylreach/model/leaf_reply.h"
#include "berylreach/model/leaf_state.h"
#include "call_gate.h"
#include "event_queue.h"
#include "upstream_leaf.h"

namespace berylreach::bench {

/// Passes calls through the gate of a host to a leaf, with the network delay
/// between host and leaf. Between the caller and the gate, calls and replies
/// pass without delay.
class GatedLeaf {
 public:
  using ReplyCallback = std::function<void(const model::LeafReply&)>;
  using HealthCallback = std::function<void(model::LeafHealth)>;

  /// `delay` is the one-way network delay between host and leaf.
  /// `on_health_change` runs whenever the health seen by the host changes.
  GatedLeaf(EventQueue& events, UpstreamLeaf& leaf,
            std::unique_ptr<CallGate> gate, base::Duration delay,
            HealthCallback on_health_change)
      : events_(events),
        leaf_(leaf),
        gate_(std::move(gate)),
        delay_(delay),
        on_health_change_(std::move(on_health_change)) {}

  void Call(const model::LeafCall& call, ReplyCallback on_reply);
  void Cancel(const model::CallId& id, bool only_if_queued);
  void SetOpen(bool open);
  /// Requests the status of the leaf, separately from its calls.
  void ReadStatus();

 private:
  void OnResult(const model::UpstreamResult& result);
  void OnStatus(bool up, std::uint64_t incarnation);
  void Execute(const limits::Actions& actions);
  void StartCall(const model::LeafCall& call);
  void ScheduleTick();
  void UpdateHealth();
  /// Records the incarnation that the leaf reported, 0 if unknown. Returns
  /// whether another incarnation was known before.
  bool RecordIncarnation(std::uint64_t incarnation);

  EventQueue& events_;
  UpstreamLeaf& leaf_;
  std::unique_ptr<CallGate> gate_;
  base::Duration delay_;
  HealthCallback on_health_change_;
  std::unordered_map<model::CallId, ReplyCallback> reply_callbacks_;
  base::TimePoint next_tick_ = base::TimePoint::max();
  std::uint64_t incarnation_ = 0;
  bool reachable_ = true;
  model::LeafHealth health_ = model::LeafHealth::kUsable;
};

}  // namespace berylreach::bench
