// A leaf with the queue at its owner.
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

// Serves calls in `slots` slots.
class LeafModel {
 public:
  using ReplyTo = std::function<void(const model::LeafReply&)>;

  LeafModel(const BenchOptions& options, EventQueue& events,
            BenchResult& result, std::uint64_t seed)
      : options_(options),
        events_(events),
        result_(result),
        service_times_(seed, options.stragglers) {}

  // The reply takes `way` to its host.
  void Call(const model::LeafCall& call, base::Duration way, ReplyTo reply);
  void Cancel(const model::CallId& id, bool only_if_queued);

 private:
  struct Job {
    model::LeafCall call;
    base::Duration way{};
    ReplyTo reply;
    base::TimePoint deadline{};
    base::TimePoint started{};
  };

  void StartNext();
  void Finish(const model::CallId& id);
  void Reply(const Job& job, model::LeafOutcome outcome);
  void Release(const Job& job);

  const BenchOptions& options_;
  EventQueue& events_;
  BenchResult& result_;
  ServiceTimes service_times_;
  std::deque<Job> queue_;
  std::map<std::uint64_t, Job> running_;
};

}  // namespace berylreach::bench
