// Carries out the actions of a gate in virtual time.
#include "gated_leaf.h"

#include <algorithm>
#include <utility>

namespace berylreach::bench {

using model::LeafOutcome;

void GatedLeaf::Call(const model::LeafCall& call, ReplyTo reply) {
  replies_[call.id] = std::move(reply);
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
  events_.After(hop_, [this] {
    events_.After(hop_,
                  [this, up = leaf_.up(), incarnation = leaf_.incarnation()] {
                    OnStatus(up, incarnation);
                  });
  });
}

bool GatedLeaf::NoteIncarnation(std::uint64_t incarnation) {
  if (incarnation == 0) return false;
  const std::uint64_t before = std::exchange(incarnation_, incarnation);
  return before != 0 && before != incarnation;
}

void GatedLeaf::OnStatus(bool up, std::uint64_t incarnation) {
  limits::Actions actions;
  const bool lost = std::exchange(reachable_, up) && !up;
  if (lost || (up && NoteIncarnation(incarnation)))
    gate_->OnColdEvidence(actions);
  Execute(actions);
}

void GatedLeaf::OnResult(const model::UpstreamResult& result) {
  if (result.connect_failed) reachable_ = false;
  if (result.outcome == LeafOutcome::kOk) reachable_ = true;
  limits::Actions actions;
  if (NoteIncarnation(result.incarnation)) gate_->OnColdEvidence(actions);
  gate_->OnResult(result, actions);
  Execute(actions);
  if (result.outcome == LeafOutcome::kLeafCrashed) ReadStatus();
}

void GatedLeaf::Execute(const limits::Actions& actions) {
  for (const limits::Action& action : actions) {
    if (const auto* start = std::get_if<limits::StartCall>(&action)) {
      Start(start->call);
    } else if (const auto* cancel =
                   std::get_if<limits::CancelRunning>(&action)) {
      events_.After(hop_, [this, id = cancel->id] { leaf_.Cancel(id); });
    } else if (const auto* reply = std::get_if<limits::Reply>(&action)) {
      const auto node = replies_.extract(reply->reply.id);
      if (!node.empty()) node.mapped()(reply->reply);
    }
  }
  PublishHealth();
  ScheduleTick();
}

void GatedLeaf::Start(const model::LeafCall& call) {
  events_.After(hop_, [this, call] {
    leaf_.Call(call, [this](const model::UpstreamResult& result) {
      events_.After(hop_, [this, result] { OnResult(result); });
    });
  });
}

void GatedLeaf::PublishHealth() {
  model::LeafHealth now = model::LeafHealth::kUsable;
  if (!reachable_) {
    now = model::LeafHealth::kDown;
  } else if (gate_->cold()) {
    now = model::LeafHealth::kCold;
  }
  if (std::exchange(health_, now) != now) on_health_(now);
}

void GatedLeaf::ScheduleTick() {
  const auto next = gate_->NextWakeup();
  if (!next || *next >= wakeup_) return;
  wakeup_ = *next;
  events_.At(std::max(wakeup_, events_.Now()), [this] {
    wakeup_ = base::TimePoint::max();
    limits::Actions actions;
    gate_->Tick(actions);
    Execute(actions);
  });
}

}  // namespace berylreach::bench
