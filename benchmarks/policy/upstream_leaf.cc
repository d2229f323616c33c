// Execution of calls, overload, crashes and cold starts of a simulated leaf.
#include "upstream_leaf.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace berylreach::bench {

using model::LeafOutcome;

std::uint32_t UpstreamLeaf::Capacity() const {
  if (completions_ == 0) return 1;
  const std::uint32_t completions_per_call = limiter_.completions_per_call;
  if (completions_per_call == 0) return options_.slots;
  return std::min(options_.slots, 1 + completions_ / completions_per_call);
}

ColdStart* UpstreamLeaf::LatestColdStart() {
  return statistics_.cold_starts.empty() ? nullptr
                                         : &statistics_.cold_starts.back();
}

void UpstreamLeaf::Call(const model::LeafCall& call, ResultCallback on_result) {
  ++statistics_.calls;
  Job job{call, std::move(on_result), {}};
  if (!up_) {
    ReportResult(job, LeafOutcome::kNotSent);
    return;
  }
  const std::uint32_t calls_at_leaf = CallsAtLeaf() + 1;
  statistics_.max_calls_at_leaf =
      std::max(statistics_.max_calls_at_leaf, calls_at_leaf);
  if (calls_at_leaf > options_.slots) ++statistics_.found_all_slots_busy;
  if (cold()) {
    if (ColdStart* start = LatestColdStart())
      start->max_calls_while_cold =
          std::max(start->max_calls_while_cold, calls_at_leaf);
    if (calls_at_leaf > Capacity()) {
      running_.emplace(call.id, std::move(job));
      Crash();
      return;
    }
  }
  if (limiter_.slow_overload || running_.size() < options_.slots) {
    RunCall(std::move(job));
  } else if (waiting_.size() < options_.slots) {
    waiting_.push_back(std::move(job));
  } else {
    ++statistics_.shed;
    ReportResult(job, LeafOutcome::kShed);
  }
}

void UpstreamLeaf::RunCall(Job job) {
  const model::CallId id = job.call.id;
  job.started_at = events_.Now();
  running_.emplace(id, std::move(job));
  base::Duration service_time = service_times_.Draw();
  if (running_.size() > options_.slots)
    service_time = service_time * running_.size() / options_.slots;
  ColdStart* start = LatestColdStart();
  if (start != nullptr && !cold() && !start->full_at &&
      running_.size() >= options_.slots) {
    start->full_at = events_.Now();
  }
  events_.After(service_time, [this, id, incarnation = incarnation_] {
    Finish(id, incarnation);
  });
}

void UpstreamLeaf::StartWaitingCalls() {
  while (!waiting_.empty() && running_.size() < options_.slots) {
    Job job = std::move(waiting_.front());
    waiting_.pop_front();
    RunCall(std::move(job));
  }
}

void UpstreamLeaf::Finish(const model::CallId& id, std::uint64_t incarnation) {
  if (incarnation != incarnation_) return;
  const auto found = running_.find(id);
  if (found == running_.end()) return;
  const Job job = std::move(found->second);
  running_.erase(found);
  statistics_.busy_time += events_.Now() - job.started_at;
  ++completions_;
  ColdStart* start = LatestColdStart();
  if (start != nullptr && !cold() && !start->warm_at)
    start->warm_at = events_.Now();
  StartWaitingCalls();
  ReportResult(job, LeafOutcome::kOk);
}

void UpstreamLeaf::Cancel(const model::CallId& id) {
  const auto waiting =
      std::find_if(waiting_.begin(), waiting_.end(),
                   [&](const Job& job) { return job.call.id == id; });
  if (waiting != waiting_.end()) {
    const Job job = std::move(*waiting);
    waiting_.erase(waiting);
    ReportResult(job, LeafOutcome::kLost);
    return;
  }
  const auto found = running_.find(id);
  if (found == running_.end()) return;
  const Job job = std::move(found->second);
  running_.erase(found);
  statistics_.busy_time += events_.Now() - job.started_at;
  StartWaitingCalls();
  ReportResult(job, LeafOutcome::kLost);
}

void UpstreamLeaf::Restart() {
  if (!up_) return;
  statistics_.cold_starts.push_back({events_.Now() + limiter_.down_time});
  Crash();
}

void UpstreamLeaf::Crash() {
  up_ = false;
  ++incarnation_;
  Jobs aborted = std::exchange(running_, {});
  for (Job& job : std::exchange(waiting_, {}))
    aborted.emplace(job.call.id, std::move(job));
  for (const auto& [id, job] : aborted)
    ReportResult(job, LeafOutcome::kLeafCrashed);
  events_.After(limiter_.down_time, [this] { StartProcess(); });
}

void UpstreamLeaf::StartProcess() {
  up_ = true;
  completions_ = 0;
  ColdStart* start = LatestColdStart();
  if (start != nullptr && events_.Now() > start->started_at)
    ++start->further_starts;
}

void UpstreamLeaf::ReportResult(const Job& job, LeafOutcome outcome) const {
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
  job.on_result(result);
}

}  // namespace berylreach::bench
