// Queueing, execution and cancellation of calls.
#include "leaf_model.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace berylreach::bench {
namespace {

/// Combines the incarnation of the sending host and the host's call counter,
/// which together identify a call.
std::uint64_t RunningKey(const model::CallId& id) {
  return id.incarnation << 48 | id.counter;
}

}  // namespace

void LeafModel::Call(const model::LeafCall& call, base::Duration delay,
                     ReplyCallback on_reply) {
  const bool must_wait = running_.size() >= options_.slots || !queue_.empty();
  if (call.no_wait && must_wait) {
    return SendReply({call, delay, std::move(on_reply)},
                     model::LeafOutcome::kNoSlot);
  }
  Job job{call, delay, std::move(on_reply), events_.Now() + call.budget};
  const auto position =
      options_.deadline_order
          ? std::upper_bound(queue_.begin(), queue_.end(), job,
                             [](const Job& a, const Job& b) {
                               return a.deadline < b.deadline;
                             })
          : queue_.end();
  queue_.insert(position, std::move(job));
  StartCalls();
}

void LeafModel::StartCalls() {
  while (running_.size() < options_.slots && !queue_.empty()) {
    Job job = std::move(queue_.front());
    queue_.pop_front();
    job.started_at = events_.Now();
    ++result_.calls_started;
    const model::CallId id = job.call.id;
    running_.emplace(RunningKey(id), std::move(job));
    events_.After(service_times_.Draw(), [this, id] { Finish(id); });
  }
}

void LeafModel::Finish(const model::CallId& id) {
  const auto found = running_.find(RunningKey(id));
  // The call was cancelled.
  if (found == running_.end()) return;
  const Job job = std::move(found->second);
  running_.erase(found);
  RecordBusyTime(job);
  StartCalls();
  SendReply(job, model::LeafOutcome::kOk);
}

void LeafModel::RecordBusyTime(const Job& job) {
  result_.busy_slot_seconds +=
      std::chrono::duration<double>(events_.Now() - job.started_at).count();
}

void LeafModel::Cancel(const model::CallId& id, bool only_if_queued) {
  const auto queued =
      std::find_if(queue_.begin(), queue_.end(),
                   [&](const Job& job) { return job.call.id == id; });
  if (queued != queue_.end()) {
    const Job job = std::move(*queued);
    queue_.erase(queued);
    SendReply(job, model::LeafOutcome::kNotSent);
    return;
  }
  if (only_if_queued || !options_.cancel_running) return;
  const auto found = running_.find(RunningKey(id));
  if (found == running_.end()) return;
  RecordBusyTime(found->second);
  running_.erase(found);
  StartCalls();
}

void LeafModel::SendReply(const Job& job, model::LeafOutcome outcome) {
  model::LeafReply reply;
  reply.id = job.call.id;
  reply.leaf = job.call.leaf;
  reply.outcome = outcome;
  reply.version = job.call.version;
  reply.shard = job.call.shard;
  reply.shard_count = job.call.shard_count;
  reply.load = static_cast<std::uint32_t>(queue_.size() + running_.size());
  events_.After(
      job.reply_delay,
      [on_reply = job.on_reply, reply = std::move(reply)] { on_reply(reply); });
}

}  // namespace berylreach::bench
