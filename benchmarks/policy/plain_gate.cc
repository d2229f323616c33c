// Event handlers of the simplified leaf gate.
#include "plain_gate.h"

#include <utility>

namespace berylreach::bench {

using model::LeafOutcome;

PlainGate::PlainGate(const base::Clock& clock, model::LeafName leaf,
                     std::uint32_t slots, ColdStartRule rule)
    : clock_(clock),
      leaf_(std::move(leaf)),
      slots_(slots),
      rule_(rule),
      limit_(slots) {}

std::uint32_t PlainGate::Limit() const {
  switch (rule_) {
    // kLeafGate selects limits::LeafGate itself, so no PlainGate has this rule.
    case ColdStartRule::kLeafGate:
    case ColdStartRule::kStepwise:
      return limit_.value();
    case ColdStartRule::kAllAtOnce:
      return limit_.cold() ? 1 : slots_;
    case ColdStartRule::kNone:
      return slots_;
  }
  return slots_;
}

void PlainGate::OnCall(const model::LeafCall& call, limits::Actions& out) {
  queue_.Push({call, clock_.Now() + call.budget});
  StartCalls(out);
}

void PlainGate::StartCalls(limits::Actions& out) {
  while (open_ && !queue_.empty() && running_.size() < Limit()) {
    limits::QueuedCall next = queue_.PopFront();
    running_[next.call.id] = {clock_.Now(), limit_.generation()};
    out.emplace_back(limits::StartCall{std::move(next.call), next.deadline});
  }
}

void PlainGate::OnCancel(const model::CallId& id, bool only_if_queued,
                         limits::Actions& out) {
  if (queue_.Remove(id)) {
    out.emplace_back(limits::Reply{MakeReply(id, LeafOutcome::kNotSent)});
  } else if (!only_if_queued && running_.contains(id)) {
    out.emplace_back(limits::CancelRunning{id});
  }
}

void PlainGate::OnResult(const model::UpstreamResult& result,
                         limits::Actions& out) {
  // A new incarnation means that the leaf has restarted; 0 means unknown.
  if (result.incarnation != 0 &&
      std::exchange(incarnation_, result.incarnation) != result.incarnation) {
    limit_.Reset();
  }
  const auto node = running_.extract(result.id);
  if (!node.empty()) {
    ApplyToLimit(result, node.mapped());
    model::LeafReply reply = MakeReply(result.id, result.outcome);
    reply.version = result.version;
    reply.shard = result.shard;
    reply.shard_count = result.shard_count;
    reply.retry_after = result.retry_after;
    out.emplace_back(limits::Reply{std::move(reply)});
  }
  StartCalls(out);
}

void PlainGate::ApplyToLimit(const model::UpstreamResult& result,
                             const RunningCall& call) {
  if (result.outcome == LeafOutcome::kOk) {
    limit_.OnCompletion(clock_.Now() - call.started_at, call.generation);
  } else if (result.outcome == LeafOutcome::kShed ||
             result.outcome == LeafOutcome::kLeafCrashed ||
             result.connect_failed) {
    limit_.Reset();
  } else {
    limit_.OnFailure();
  }
}

void PlainGate::OnColdEvidence(limits::Actions& out) {
  limit_.Reset();
  StartCalls(out);
}

void PlainGate::SetOpen(bool open, limits::Actions& out) {
  open_ = open;
  StartCalls(out);
}

void PlainGate::Tick(limits::Actions& out) {
  const base::TimePoint now = clock_.Now();
  const auto expired = queue_.RemoveIf(
      [now](const limits::QueuedCall& call) { return call.deadline <= now; });
  for (const limits::QueuedCall& call : expired)
    out.emplace_back(
        limits::Reply{MakeReply(call.call.id, LeafOutcome::kNotSent)});
  StartCalls(out);
}

std::optional<base::TimePoint> PlainGate::NextWakeup() const {
  return queue_.EarliestDeadline();
}

model::LeafReply PlainGate::MakeReply(const model::CallId& id,
                                      LeafOutcome outcome) const {
  model::LeafReply reply;
  reply.id = id;
  reply.leaf = leaf_;
  reply.outcome = outcome;
  reply.load = static_cast<std::uint32_t>(queue_.size() + running_.size());
  return reply;
}

}  // namespace berylreach::bench
