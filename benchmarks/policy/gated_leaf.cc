// Execution of the actions of a gate, and the health of its leaf.
#include "gated_leaf.h"

#include <algorithm>
#include <utility>

namespace berylreach::bench {

using model::LeafOutcome;

void GatedLeaf::Call(const model::LeafCall& call, ReplyCallback on_reply) {
  reply_callbacks_[call.id] = std::move(on_reply);
  limits::Actions actions;
  gate_->OnCall(call, actions);
  Execute(actions);
}

void GatedLeaf::Cancel(const model::CallId& id, bool only_if_queued) {
  limits::Actions actions;
  gate_->OnCancel(id, only_if_queued, actions);
  Execute(actions);
}

void GatedLeaf::SetOpen(bool open) {
  limits::Actions actions;
  gate_->SetOpen(open, actions);
  Execute(actions);
}

void GatedLeaf::ReadStatus() {
  events_.After(delay_, [this] {
    events_.After(delay_,
                  [this, up = leaf_.up(), incarnation = leaf_.incarnation()] {
                    OnStatus(up, incarnation);
                  });
  });
}

bool GatedLeaf::RecordIncarnation(std::uint64_t incarnation) {
  if (incarnation == 0) return false;
  const std::uint64_t previous = std::exchange(incarnation_, incarnation);
  return previous != 0 && previous != incarnation;
}

void GatedLeaf::OnStatus(bool up, std::uint64_t incarnation) {
  limits::Actions actions;
  const bool became_unreachable = std::exchange(reachable_, up) && !up;
  if (became_unreachable || (up && RecordIncarnation(incarnation)))
    gate_->OnColdEvidence(actions);
  Execute(actions);
}

void GatedLeaf::OnResult(const model::UpstreamResult& result) {
  if (result.connect_failed) reachable_ = false;
  if (result.outcome == LeafOutcome::kOk) reachable_ = true;
  limits::Actions actions;
  if (RecordIncarnation(result.incarnation)) gate_->OnColdEvidence(actions);
  gate_->OnResult(result, actions);
  Execute(actions);
  if (result.outcome == LeafOutcome::kLeafCrashed) ReadStatus();
}

void GatedLeaf::Execute(const limits::Actions& actions) {
  for (const limits::Action& action : actions) {
    if (const auto* start = std::get_if<limits::StartCall>(&action)) {
      StartCall(start->call);
    } else if (const auto* cancel =
                   std::get_if<limits::CancelRunning>(&action)) {
      events_.After(delay_, [this, id = cancel->id] { leaf_.Cancel(id); });
    } else if (const auto* reply = std::get_if<limits::Reply>(&action)) {
      const auto callback = reply_callbacks_.extract(reply->reply.id);
      if (!callback.empty()) callback.mapped()(reply->reply);
    }
  }
  UpdateHealth();
  ScheduleTick();
}

void GatedLeaf::StartCall(const model::LeafCall& call) {
  events_.After(delay_, [this, call] {
    leaf_.Call(call, [this](const model::UpstreamResult& result) {
      events_.After(delay_, [this, result] { OnResult(result); });
    });
  });
}

void GatedLeaf::UpdateHealth() {
  model::LeafHealth health = model::LeafHealth::kUsable;
  if (!reachable_) {
    health = model::LeafHealth::kDown;
  } else if (gate_->cold()) {
    health = model::LeafHealth::kCold;
  }
  if (std::exchange(health_, health) != health) on_health_change_(health);
}

void GatedLeaf::ScheduleTick() {
  const auto wakeup = gate_->NextWakeup();
  if (!wakeup || *wakeup >= next_tick_) return;
  next_tick_ = *wakeup;
  events_.At(std::max(next_tick_, events_.Now()), [this] {
    next_tick_ = base::TimePoint::max();
    limits::Actions actions;
    gate_->Tick(actions);
    Execute(actions);
  });
}

}  // namespace berylreach::bench
