// Simulated leaf together with the queue at its owner.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>

#include "bench_options.h"
#include "bench_result.h"
#include "berylreach/model/leaf_call.h"
#include "berylreach/model/leaf_reply.h"
#include "event_queue.h"
#include "service_times.h"

namespace berylreach::bench {

/// Runs up to BenchOptions::slots calls at a time and queues the others. The
/// owner adds no delay.
class LeafModel {
 public:
  using ReplyCallback = std::function<void(const model::LeafReply&)>;

  LeafModel(const BenchOptions& options, EventQueue& events,
            BenchResult& result, std::uint64_t seed)
      : options_(options),
        events_(events),
        result_(result),
        service_times_(seed, options.stragglers) {}

  /// Queues or runs a call. `on_reply` runs `delay` after the leaf has replied.
  void Call(const model::LeafCall& call, base::Duration delay,
            ReplyCallback on_reply);
  void Cancel(const model::CallId& id, bool only_if_queued);

 private:
  struct Job {
    model::LeafCall call;
    base::Duration reply_delay{};
    ReplyCallback on_reply;
    base::TimePoint deadline{};
    base::TimePoint started_at{};
  };

  void StartCalls();
  void Finish(const model::CallId& id);
  void SendReply(const Job& job, model::LeafOutcome outcome);
  void RecordBusyTime(const Job& job);

  const BenchOptions& options_;
  EventQueue& events_;
  BenchResult& result_;
  ServiceTimes service_times_;
  std::deque<Job> queue_;
  std::map<std::uint64_t, Job> running_;
};

}  // namespace berylreach::bench
