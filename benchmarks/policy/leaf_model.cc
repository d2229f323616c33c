// Service of calls in virtual time.
#include "leaf_model.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace berylreach::bench {
namespace {

// Calls of all hosts have different ids only by incarnation and counter.
std::uint64_t Key(const model::CallId& id) {
  return id.incarnation << 48 | id.counter;
}

}  // namespace

void LeafModel::Call(const model::LeafCall& call, base::Duration way,
                     ReplyTo reply) {
  const bool busy = running_.size() >= options_.slots || !queue_.empty();
  if (call.no_wait && busy) {
    return Reply({call, way, std::move(reply)}, model::LeafOutcome::kNoSlot);
  }
  Job job{call, way, std::move(reply), events_.Now() + call.budget};
  const auto place = options_.deadline_order
                         ? std::upper_bound(queue_.begin(), queue_.end(), job,
                                            [](const Job& a, const Job& b) {
                                              return a.deadline < b.deadline;
                                            })
                         : queue_.end();
  queue_.insert(place, std::move(job));
  StartNext();
}

void LeafModel::StartNext() {
  while (running_.size() < options_.slots && !queue_.empty()) {
    Job job = std::move(queue_.front());
    queue_.pop_front();
    job.started = events_.Now();
    ++result_.calls_started;
    const model::CallId id = job.call.id;
    running_.emplace(Key(id), std::move(job));
    events_.After(service_times_.Draw(), [this, id] { Finish(id); });
  }
}

void LeafModel::Finish(const model::CallId& id) {
  const auto found = running_.find(Key(id));
  // The call was cancelled.
  if (found == running_.end()) return;
  const Job job = std::move(found->second);
  running_.erase(found);
  Release(job);
  StartNext();
  Reply(job, model::LeafOutcome::kOk);
}

void LeafModel::Release(const Job& job) {
  result_.busy_slot_seconds +=
      std::chrono::duration<double>(events_.Now() - job.started).count();
}

void LeafModel::Cancel(const model::CallId& id, bool only_if_queued) {
  const auto queued =
      std::find_if(queue_.begin(), queue_.end(),
                   [&](const Job& job) { return job.call.id == id; });
  if (queued != queue_.end()) {
    const Job job = std::move(*queued);
    queue_.erase(queued);
    Reply(job, model::LeafOutcome::kNotSent);
    return;
  }
  if (only_if_queued || !options_.cancel_running) return;
  const auto found = running_.find(Key(id));
  if (found == running_.end()) return;
  Release(found->second);
  running_.erase(found);
  StartNext();
}

void LeafModel::Reply(const Job& job, model::LeafOutcome outcome) {
  model::LeafReply reply;
  reply.id = job.call.id;
  reply.leaf = job.call.leaf;
  reply.outcome = outcome;
  reply.version = job.call.version;
  reply.shard = job.call.shard;
  reply.shard_count = job.call.shard_count;
  reply.load = static_cast<std::uint32_t>(queue_.size() + running_.size());
  events_.After(job.way,
                [to = job.reply, reply = std::move(reply)] { to(reply); });
}

}  // namespace berylreach::bench
