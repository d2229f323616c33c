// Starting, expiring and refusing the queued calls of a leaf gate.
#include <algorithm>
#include <functional>
#include <queue>
#include <utility>

#include "berylreach/limits/leaf_gate.h"

namespace berylreach::limits {
namespace {

using model::LeafOutcome;

/// Retry delay while the leaf is draining or its zone is out of service; both
/// last longer than a second.
constexpr base::Duration kOutOfServiceRetryAfter = std::chrono::seconds(1);

}  // namespace

void LeafGate::Update(Actions& out) {
  ExpireRunning(out);
  ExpireQueued(out);
  if (!AcceptsCalls()) {
    RefuseQueued(LeafOutcome::kDraining, out);
    return;
  }
  StartCalls(out);
  ShedQueued(out);
}

bool LeafGate::CanStart(const model::LeafCall& next) const {
  if (!open_ || clock_.Now() >= lease_expiry_) return false;
  if (running_.size() >= limit_.value()) return false;
  if (running_.empty()) return true;
  // An exclusive call is the only running one, so that checking any one call
  // suffices.
  return !next.exclusive && !running_.begin()->second.exclusive;
}

void LeafGate::StartCalls(Actions& out) {
  const auto ready = [this](const QueuedCall& call) {
    return !MustAwaitCanary(call.call);
  };
  while (const QueuedCall* next = queue_.FindFirst(ready)) {
    if (!CanStart(next->call)) return;
    Start(*queue_.Remove(next->call.id), out);
  }
}

bool LeafGate::MustAwaitCanary(const model::LeafCall& call) const {
  if (!call.canary) return false;
  return std::any_of(running_.begin(), running_.end(), [&](const auto& item) {
    return item.second.canary && item.second.fingerprint == call.fingerprint;
  });
}

bool LeafGate::MustRedirect(const model::LeafCall& call) {
  // Proven requests may run on any leaf, so a copy need not follow an earlier
  // one.
  if (!call.canary) return !queue_.empty() || !CanStart(call);
  const bool waits_here =
      MustAwaitCanary(call) || queue_.FindFirst([&](const QueuedCall& other) {
        return other.call.canary && other.call.fingerprint == call.fingerprint;
      }) != nullptr;
  if (waits_here) return false;
  const base::TimePoint now = clock_.Now();
  while (!redirected_canaries_.empty() &&
         redirected_canaries_.front().first + kRedirectRetention <= now)
    redirected_canaries_.pop_front();
  const bool redirected_before = std::any_of(
      redirected_canaries_.begin(), redirected_canaries_.end(),
      [&](const auto& item) { return item.second == call.fingerprint; });
  if (!redirected_before && queue_.empty() && CanStart(call)) return false;
  redirected_canaries_.emplace_back(now, call.fingerprint);
  return true;
}

void LeafGate::Start(QueuedCall next, Actions& out) {
  RunningCall running;
  running.fingerprint = next.call.fingerprint;
  running.started_at = clock_.Now();
  running.not_after = std::min(next.deadline, lease_expiry_);
  running.generation = limit_.generation();
  running.exclusive = next.call.exclusive;
  running.canary = next.call.canary;
  running_.emplace(next.call.id, running);
  ++counters_.started;
  out.emplace_back(StartCall{std::move(next.call), running.not_after});
}

void LeafGate::ExpireQueued(Actions& out) {
  const base::TimePoint now = clock_.Now();
  const auto expired = queue_.RemoveIf(
      [now](const QueuedCall& call) { return call.deadline <= now; });
  for (const QueuedCall& call : expired) {
    ++counters_.expired;
    Answer(call.call.id, LeafOutcome::kNotSent, ExpectedWait(0), out);
  }
}

void LeafGate::ExpireRunning(Actions& out) {
  const base::TimePoint now = clock_.Now();
  for (auto next = running_.begin(); next != running_.end();) {
    const auto current = next++;
    if (now < current->second.not_after + kResultGrace) continue;
    const model::CallId id = current->first;
    const bool has_reply = current->second.unanswered;
    running_.erase(current);
    if (has_reply) continue;
    ++counters_.unanswered;
    limit_.OnFailure();
    Answer(id, LeafOutcome::kTimedOut, {}, out);
  }
}

std::vector<base::TimePoint> LeafGate::SlotFreeTimes() const {
  const base::TimePoint now = clock_.Now();
  std::vector<base::TimePoint> times;
  for (const auto& [id, call] : running_) {
    times.push_back(call.unanswered ? call.not_after + kResultGrace
                                    : std::max(now, call.started_at +
                                                        limit_.ServiceTime()));
  }
  std::sort(times.begin(), times.end());
  // After a reset, more calls may be running than the limit allows; the first
  // ones to end free no slot.
  if (times.size() > limit_.value())
    times.erase(times.begin(), times.end() - limit_.value());
  times.resize(limit_.value(), now);
  return times;
}

void LeafGate::ShedQueued(Actions& out) {
  if (!open_ || queue_.empty()) return;
  const base::TimePoint now = clock_.Now();
  const base::Duration service_time = limit_.ServiceTime();
  std::vector<base::TimePoint> slots = SlotFreeTimes();
  std::vector<base::Duration> waits;
  std::size_t position = 0;
  const auto shed = queue_.RemoveIf([&](const QueuedCall& call) {
    const auto slot = call.call.exclusive
                          ? std::max_element(slots.begin(), slots.end())
                          : std::min_element(slots.begin(), slots.end());
    const base::TimePoint end = *slot + service_time;
    if (end > call.deadline || position >= kMaxQueuedCalls) {
      waits.push_back(*slot - now);
      return true;
    }
    ++position;
    if (call.call.exclusive) std::fill(slots.begin(), slots.end(), end);
    *slot = end;
    return false;
  });
  for (std::size_t i = 0; i < shed.size(); ++i)
    RefuseOverloaded(shed[i], waits[i], out);
}

base::Duration LeafGate::ExpectedWait(std::uint32_t priority) const {
  std::vector<base::TimePoint> slots = SlotFreeTimes();
  std::priority_queue free_times(std::greater<>{}, std::move(slots));
  for (std::size_t i = queue_.CountAhead(priority); i > 0; --i) {
    const base::TimePoint end = free_times.top() + limit_.ServiceTime();
    free_times.pop();
    free_times.push(end);
  }
  return free_times.top() - clock_.Now();
}

void LeafGate::RefuseQueued(LeafOutcome outcome, Actions& out) {
  const auto refused = queue_.RemoveIf([](const QueuedCall&) { return true; });
  for (const QueuedCall& call : refused) {
    ++counters_.refused_closed;
    Answer(call.call.id, outcome,
           outcome == LeafOutcome::kNotOwner ? base::Duration::zero()
                                             : kOutOfServiceRetryAfter,
           out);
  }
}

void LeafGate::RefuseOverloaded(const QueuedCall& call, base::Duration wait,
                                Actions& out) {
  ++counters_.refused_overload;
  Answer(call.call.id, LeafOutcome::kOverloaded, wait, out);
}

void LeafGate::RefuseOutOfService(const model::LeafCall& call, Actions& out) {
  ++counters_.refused_closed;
  Answer(call.id, LeafOutcome::kDraining, kOutOfServiceRetryAfter, out);
}

void LeafGate::Answer(const model::CallId& id, LeafOutcome outcome,
                      base::Duration retry_after, Actions& out) {
  model::LeafReply reply;
  reply.id = id;
  reply.leaf = leaf_;
  reply.outcome = outcome;
  reply.load = static_cast<std::uint32_t>(queued() + running());
  reply.retry_after = std::chrono::ceil<std::chrono::milliseconds>(retry_after);
  out.emplace_back(Reply{std::move(reply)});
}

}  // namespace berylreach::limits
