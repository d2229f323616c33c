// The process of a leaf as it behaves towards all hosts.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

#include "bench_options.h"
#include "berylreach/model/call_id.h"
#include "berylreach/model/leaf_call.h"
#include "berylreach/model/upstream_result.h"
#include "event_queue.h"
#include "limiter_options.h"
#include "service_times.h"

namespace berylreach::bench {

// Figures of one cold start, from the first start of the process.
struct ColdStart {
  base::TimePoint started_at{};
  // Starts after the first one, until the leaf was warm.
  std::uint32_t further_starts = 0;
  std::uint32_t most_while_cold = 0;
  std::optional<base::TimePoint> warm_at;
  // All slots were busy for the first time.
  std::optional<base::TimePoint> full_at;
};

struct UpstreamFigures {
  std::uint64_t calls = 0;
  // Calls that found all slots busy.
  std::uint64_t found_full = 0;
  std::uint64_t shed = 0;
  // Time that slots were busy, cancelled calls included.
  base::Duration busy{0};
  // Calls at the leaf at the same time, running or not.
  std::uint32_t most_present = 0;
  std::vector<ColdStart> cold_starts;
};

// Runs calls in `slots` slots, keeps as many waiting and sheds the rest, like
// the leaf stand-in. A cold process dies when it gets more calls than it bears.
class UpstreamLeaf {
 public:
  using Done = std::function<void(const model::UpstreamResult&)>;

  UpstreamLeaf(const BenchOptions& options, const LimiterOptions& limiter,
               EventQueue& events, std::uint64_t seed)
      : options_(options),
        limiter_(limiter),
        events_(events),
        service_times_(seed, options.stragglers) {}

  void Call(const model::LeafCall& call, Done done);
  void Cancel(const model::CallId& id);
  // Ends the process; it starts again, cold, after the down time.
  void Restart();

  bool up() const { return up_; }
  std::uint64_t incarnation() const { return incarnation_; }
  const UpstreamFigures& figures() const { return figures_; }

 private:
  struct Job {
    model::LeafCall call;
    Done done;
    base::TimePoint started{};
  };
  using Jobs = std::unordered_map<model::CallId, Job>;

  std::uint32_t Present() const {
    return static_cast<std::uint32_t>(running_.size() + waiting_.size());
  }
  // Calls that the process bears at a time.
  std::uint32_t Bears() const;
  bool cold() const { return Bears() < options_.slots; }
  void Run(Job job);
  void StartNext();
  void Finish(const model::CallId& id, std::uint64_t incarnation);
  void Die();
  void Start();
  void Reply(const Job& job, model::LeafOutcome outcome) const;
  ColdStart* CurrentColdStart();

  const BenchOptions& options_;
  const LimiterOptions& limiter_;
  EventQueue& events_;
  ServiceTimes service_times_;
  UpstreamFigures figures_;
  Jobs running_;
  std::deque<Job> waiting_;
  bool up_ = true;
  std::uint64_t incarnation_ = 1;
  // Since the start of the process; the first process is warm.
  std::uint32_t completions_ = 1000;
};

}  // namespace berylreach::bench
