// Event handlers of a leaf gate: calls, results, and changes of the leaf's
// state.
#include "berylreach/limits/leaf_gate.h"

#include <algorithm>
#include <utility>

namespace berylreach::limits {

using model::LeafOutcome;

LeafGate::LeafGate(const base::Clock& clock, model::LeafName leaf,
                   std::uint32_t slots)
    : clock_(clock), leaf_(std::move(leaf)), limit_(slots) {}

bool LeafGate::IsKnown(const model::CallId& id) const {
  return queue_.Contains(id) || running_.contains(id);
}

void LeafGate::OnCall(const model::LeafCall& call, Actions& out) {
  // A duplicated message must not start the call twice.
  if (IsKnown(call.id)) return;
  ++counters_.received;
  if (!AcceptsCalls()) {
    RefuseOutOfService(call, out);
    return;
  }
  if (call.no_wait && MustRedirect(call)) {
    ++counters_.refused_no_slot;
    Answer(call.id, LeafOutcome::kNoSlot, {}, out);
    return;
  }
  queue_.Push({call, clock_.Now() + call.budget});
  Update(out);
}

void LeafGate::OnCancel(const model::CallId& id, Actions& out) {
  if (queue_.Remove(id)) {
    ++counters_.cancelled_queued;
    Answer(id, LeafOutcome::kNotSent, {}, out);
  } else if (const auto found = running_.find(id);
             found != running_.end() && !found->second.unanswered) {
    ++counters_.cancelled_running;
    out.emplace_back(CancelRunning{id});
  }
  Update(out);
}

void LeafGate::CancelIfQueued(const model::CallId& id, Actions& out) {
  if (!queue_.Remove(id)) return;
  ++counters_.cancelled_queued;
  Answer(id, LeafOutcome::kNotSent, {}, out);
  Update(out);
}

void LeafGate::RefuseCanaries(
    const std::function<std::optional<LeafOutcome>(std::uint64_t)>& outcome_of,
    Actions& out) {
  const auto refused = queue_.RemoveIf([&](const QueuedCall& call) {
    return call.call.canary && outcome_of(call.call.fingerprint).has_value();
  });
  for (const QueuedCall& call : refused) {
    ++counters_.refused_suspect;
    Answer(call.call.id, *outcome_of(call.call.fingerprint), {}, out);
  }
  if (!refused.empty()) Update(out);
}

void LeafGate::OnResult(const model::UpstreamResult& result, Actions& out) {
  CheckIncarnation(result);
  const auto found = running_.find(result.id);
  if (found != running_.end() && !found->second.unanswered) {
    ApplyToLimit(result, found->second);
    FinishCall(found, result, out);
  }
  if (result.outcome == LeafOutcome::kDraining) draining_ = true;
  Update(out);
}

void LeafGate::CheckIncarnation(const model::UpstreamResult& result) {
  if (result.incarnation == 0) return;
  const bool restarted =
      incarnation_ != 0 && incarnation_ != result.incarnation;
  incarnation_ = result.incarnation;
  if (restarted) ResetLimit();
}

void LeafGate::ApplyToLimit(const model::UpstreamResult& result,
                            const RunningCall& call) {
  switch (result.outcome) {
    case LeafOutcome::kOk: {
      const auto generation = limit_.generation();
      limit_.OnCompletion(clock_.Now() - call.started_at, call.generation);
      if (limit_.generation() != generation) ++counters_.cold_resets;
      return;
    }
    case LeafOutcome::kLost:
      // A call that has ended at the leaf, such as a cancelled one, is no
      // evidence of a cold start.
      if (result.call_ended) {
        limit_.OnFailure();
      } else {
        ResetLimit();
      }
      return;
    case LeafOutcome::kShed:
    case LeafOutcome::kLeafCrashed:
      ResetLimit();
      return;
    case LeafOutcome::kTimedOut:
      limit_.OnFailure();
      return;
    default:
      if (result.connect_failed) ResetLimit();
  }
}

void LeafGate::FinishCall(RunningMap::iterator found,
                          const model::UpstreamResult& result, Actions& out) {
  if (found->second.canary && result.outcome == LeafOutcome::kOk) {
    queue_.OnProven(found->second.fingerprint);
  }
  const bool unanswered =
      !result.call_ended && (result.outcome == LeafOutcome::kLost ||
                             result.outcome == LeafOutcome::kTimedOut);
  if (unanswered) {
    ++counters_.unanswered;
    found->second.unanswered = true;
  } else {
    running_.erase(found);
  }
  if (result.outcome == LeafOutcome::kOk) ++counters_.completed;
  model::LeafReply reply;
  reply.id = result.id;
  reply.leaf = leaf_;
  reply.outcome = result.outcome;
  reply.version = result.version;
  reply.shard = result.shard;
  reply.shard_count = result.shard_count;
  reply.result = result.result;
  reply.holdings = result.holdings;
  reply.load = static_cast<std::uint32_t>(queued() + running());
  reply.retry_after = result.retry_after;
  out.emplace_back(Reply{std::move(reply)});
}

void LeafGate::OnColdEvidence(Actions& out) {
  ResetLimit();
  Update(out);
}

void LeafGate::ResetLimit() {
  limit_.Reset();
  ++counters_.cold_resets;
}

void LeafGate::SetOpen(bool open, Actions& out) {
  if (open && !open_) ResetLimit();
  open_ = open;
  Update(out);
}

void LeafGate::OnOwnershipLost(Actions& out) {
  open_ = false;
  RefuseQueued(LeafOutcome::kNotOwner, out);
}

void LeafGate::SetDraining(bool draining, Actions& out) {
  draining_ = draining;
  Update(out);
}

void LeafGate::SetZoneOutOfService(bool out_of_service, Actions& out) {
  if (zone_out_of_service_ && !out_of_service) ResetLimit();
  zone_out_of_service_ = out_of_service;
  Update(out);
}

void LeafGate::SetLeaseExpiry(base::TimePoint expiry, Actions& out) {
  lease_expiry_ = expiry;
  Update(out);
}

void LeafGate::SetSlots(std::uint32_t slots, Actions& out) {
  limit_.SetSlots(slots);
  Update(out);
}

void LeafGate::Tick(Actions& out) { Update(out); }

std::optional<base::TimePoint> LeafGate::NextWakeup() const {
  std::optional<base::TimePoint> earliest = queue_.EarliestDeadline();
  for (const auto& [id, call] : running_) {
    const base::TimePoint end = call.not_after + kResultGrace;
    if (!earliest || end < *earliest) earliest = end;
  }
  return earliest;
}

std::vector<std::uint64_t> LeafGate::RunningFingerprints() const {
  std::vector<std::uint64_t> fingerprints;
  for (const auto& [id, call] : running_)
    fingerprints.push_back(call.fingerprint);
  std::sort(fingerprints.begin(), fingerprints.end());
  fingerprints.erase(std::unique(fingerprints.begin(), fingerprints.end()),
                     fingerprints.end());
  return fingerprints;
}

}  // namespace berylreach::limits
