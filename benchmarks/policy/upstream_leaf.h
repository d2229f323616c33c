// Simulated leaf process with a limited number of slots and cold starts.
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

/// Course of one cold start, which ends when the leaf is warm. Until then, the
/// process may crash and start again several times.
struct ColdStart {
  /// First start of the process.
  base::TimePoint started_at{};
  /// Starts after the first one.
  std::uint32_t further_starts = 0;
  /// Maximum number of calls at the leaf while it was cold.
  std::uint32_t max_calls_while_cold = 0;
  /// When the leaf could handle calls in all its slots.
  std::optional<base::TimePoint> warm_at;
  /// When all slots of the warm leaf were busy for the first time.
  std::optional<base::TimePoint> full_at;
};

/// Statistics of one leaf, or of several together.
struct UpstreamStatistics {
  /// Calls that the leaf received, those while it was down included.
  std::uint64_t calls = 0;
  /// Calls that arrived while all slots were busy.
  std::uint64_t found_all_slots_busy = 0;
  std::uint64_t shed = 0;
  /// Time for which slots ran calls that completed or were cancelled, summed
  /// over all slots.
  base::Duration busy_time{0};
  /// Maximum number of calls at the leaf at the same time: running, waiting and
  /// the one that arrives.
  std::uint32_t max_calls_at_leaf = 0;
  std::vector<ColdStart> cold_starts;
};

/// Runs as many calls as it has slots, queues as many again and sheds the rest,
/// like the leaf stand-in. A cold process crashes when it has more calls than
/// it can handle.
class UpstreamLeaf {
 public:
  using ResultCallback = std::function<void(const model::UpstreamResult&)>;

  UpstreamLeaf(const BenchOptions& options, const LimiterOptions& limiter,
               EventQueue& events, std::uint64_t seed)
      : options_(options),
        limiter_(limiter),
        events_(events),
        service_times_(seed, options.stragglers) {}

  void Call(const model::LeafCall& call, ResultCallback on_result);
  void Cancel(const model::CallId& id);
  /// Ends the process. It starts again, cold, after LimiterOptions::down_time.
  void Restart();

  bool up() const { return up_; }
  std::uint64_t incarnation() const { return incarnation_; }
  const UpstreamStatistics& statistics() const { return statistics_; }

 private:
  struct Job {
    model::LeafCall call;
    ResultCallback on_result;
    base::TimePoint started_at{};
  };
  using Jobs = std::unordered_map<model::CallId, Job>;

  /// Number of running and waiting calls.
  std::uint32_t CallsAtLeaf() const {
    return static_cast<std::uint32_t>(running_.size() + waiting_.size());
  }
  /// Returns the number of calls that the process can handle at the same time.
  std::uint32_t Capacity() const;
  bool cold() const { return Capacity() < options_.slots; }
  void RunCall(Job job);
  void StartWaitingCalls();
  /// Ends a running call, unless it was cancelled or its process,
  /// `incarnation`, has ended.
  void Finish(const model::CallId& id, std::uint64_t incarnation);
  /// Ends the process and all its calls, and schedules its next start.
  void Crash();
  void StartProcess();
  void ReportResult(const Job& job, model::LeafOutcome outcome) const;
  /// Returns the latest cold start; null if there was none.
  ColdStart* LatestColdStart();

  const BenchOptions& options_;
  const LimiterOptions& limiter_;
  EventQueue& events_;
  ServiceTimes service_times_;
  UpstreamStatistics statistics_;
  Jobs running_;
  std::deque<Job> waiting_;
  bool up_ = true;
  std::uint64_t incarnation_ = 1;
  /// Completions since the process started. The first process counts as warm.
  std::uint32_t completions_ = 1000;
};

}  // namespace berylreach::bench
