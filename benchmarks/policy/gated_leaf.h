// The gate of one leaf at one host, and the network between the two.
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

// Replies are given at this host, when its gate gives them.
class GatedLeaf {
 public:
  using ReplyTo = std::function<void(const model::LeafReply&)>;
  using OnHealth = std::function<void(model::LeafHealth)>;

  // `hop` is the latency between host and leaf, one way.
  GatedLeaf(EventQueue& events, UpstreamLeaf& leaf,
            std::unique_ptr<CallGate> gate, base::Duration hop,
            OnHealth on_health)
      : events_(events),
        leaf_(leaf),
        gate_(std::move(gate)),
        hop_(hop),
        on_health_(std::move(on_health)) {}

  void Call(const model::LeafCall& call, ReplyTo reply);
  void Cancel(const model::CallId& id, bool only_if_queued);
  void SetOpen(bool open);
  // Reads the status of the leaf on a connection of its own.
  void ReadStatus();

 private:
  void OnResult(const model::UpstreamResult& result);
  void OnStatus(bool up, std::uint64_t incarnation);
  void Execute(const limits::Actions& actions);
  void Start(const model::LeafCall& call);
  void ScheduleTick();
  void PublishHealth();
  bool NoteIncarnation(std::uint64_t incarnation);

  EventQueue& events_;
  UpstreamLeaf& leaf_;
  std::unique_ptr<CallGate> gate_;
  base::Duration hop_;
  OnHealth on_health_;
  std::unordered_map<model::CallId, ReplyTo> replies_;
  base::TimePoint wakeup_ = base::TimePoint::max();
  std::uint64_t incarnation_ = 0;
  bool reachable_ = true;
  model::LeafHealth health_ = model::LeafHealth::kUsable;
};

}  // namespace berylreach::bench
