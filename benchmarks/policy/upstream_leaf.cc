// Service, overload, death and cold start of a modelled leaf.
#include "upstream_leaf.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace berylreach::bench {

using model::LeafOutcome;

std::uint32_t UpstreamLeaf::Bears() const {
  if (completions_ == 0) return 1;
  const std::uint32_t step = limiter_.completions_per_call;
  if (step == 0) return options_.slots;
  return std::min(options_.slots, 1 + completions_ / step);
}

ColdStart* UpstreamLeaf::CurrentColdStart() {
  return figures_.cold_starts.empty() ? nullptr : &figures_.cold_starts.back();
}

void UpstreamLeaf::Call(const model::LeafCall& call, Done done) {
  ++figures_.calls;
  Job job{call, std::move(done), {}};
  if (!up_) {
    Reply(job, LeafOutcome::kNotSent);
    return;
  }
  const std::uint32_t present = Present() + 1;
  figures_.most_present = std::max(figures_.most_present, present);
  if (present > options_.slots) ++figures_.found_full;
  if (cold()) {
    if (ColdStart* start = CurrentColdStart())
      start->most_while_cold = std::max(start->most_while_cold, present);
    if (present > Bears()) {
      running_.emplace(call.id, std::move(job));
      Die();
      return;
    }
  }
  if (limiter_.slow_overload || running_.size() < options_.slots) {
    Run(std::move(job));
  } else if (waiting_.size() < options_.slots) {
    waiting_.push_back(std::move(job));
  } else {
    ++figures_.shed;
    Reply(job, LeafOutcome::kShed);
  }
}

void UpstreamLeaf::Run(Job job) {
  const model::CallId id = job.call.id;
  job.started = events_.Now();
  running_.emplace(id, std::move(job));
  base::Duration time = service_times_.Draw();
  if (running_.size() > options_.slots)
    time = time * running_.size() / options_.slots;
  ColdStart* start = CurrentColdStart();
  if (start != nullptr && !cold() && !start->full_at &&
      running_.size() >= options_.slots) {
    start->full_at = events_.Now();
  }
  events_.After(time, [this, id, incarnation = incarnation_] {
    Finish(id, incarnation);
  });
}

void UpstreamLeaf::StartNext() {
  while (!waiting_.empty() && running_.size() < options_.slots) {
    Job job = std::move(waiting_.front());
    waiting_.pop_front();
    Run(std::move(job));
  }
}

void UpstreamLeaf::Finish(const model::CallId& id, std::uint64_t incarnation) {
  // The call was cancelled, or its process has ended.
  if (incarnation != incarnation_) return;
  const auto found = running_.find(id);
  if (found == running_.end()) return;
  const Job job = std::move(found->second);
  running_.erase(found);
  figures_.busy += events_.Now() - job.started;
  ++completions_;
  ColdStart* start = CurrentColdStart();
  if (start != nullptr && !cold() && !start->warm_at)
    start->warm_at = events_.Now();
  StartNext();
  Reply(job, LeafOutcome::kOk);
}

void UpstreamLeaf::Cancel(const model::CallId& id) {
  const auto waiting =
      std::find_if(waiting_.begin(), waiting_.end(),
                   [&](const Job& job) { return job.call.id == id; });
  if (waiting != waiting_.end()) {
    const Job job = std::move(*waiting);
    waiting_.erase(waiting);
    Reply(job, LeafOutcome::kLost);
    return;
  }
  const auto found = running_.find(id);
  if (found == running_.end()) return;
  const Job job = std::move(found->second);
  running_.erase(found);
  figures_.busy += events_.Now() - job.started;
  StartNext();
  Reply(job, LeafOutcome::kLost);
}

void UpstreamLeaf::Restart() {
  if (!up_) return;
  figures_.cold_starts.push_back({events_.Now() + limiter_.down_time});
  Die();
}

void UpstreamLeaf::Die() {
  up_ = false;
  ++incarnation_;
  Jobs lost = std::exchange(running_, {});
  for (Job& job : std::exchange(waiting_, {}))
    lost.emplace(job.call.id, std::move(job));
  for (const auto& [id, job] : lost) Reply(job, LeafOutcome::kLeafCrashed);
  events_.After(limiter_.down_time, [this] { Start(); });
}

void UpstreamLeaf::Start() {
  up_ = true;
  completions_ = 0;
  ColdStart* start = CurrentColdStart();
  if (start != nullptr && events_.Now() > start->started_at)
    ++start->further_starts;
}

void UpstreamLeaf::Reply(const Job& job, LeafOutcome outcome) const {
  model::UpstreamResult result;
  result.id = job.call.id;
  result.leaf = job.call.leaf;
  result.outcome = outcome;
  result.version = job.call.version;
  result.shard = job.call.shard;
  result.shard_count = job.call.shard_count;
  result.incarnation = outcome == LeafOutcome::kOk ? incarnation_ : 0;
  result.connect_failed = outcome == LeafOutcome::kNotSent;
  // A cancelled call has ended at the leaf.
  result.call_ended = outcome != LeafOutcome::kLeafCrashed;
  result.retry_after = std::chrono::milliseconds(10);
  job.done(result);
}

}  // namespace berylreach::bench
