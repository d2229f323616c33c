// Simulation of hosts that choose leaves, in virtual time.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "choice_policy.h"
#include "event_queue.h"

namespace berylreach::bench {

struct ChoiceOptions {
  ChoiceDeployment deployment;
  /// Number of hosts that call each service; 0 for all.
  std::size_t owners = 0;
  /// Share of the slots of all leaves that the calls use without disturbances.
  double load = 0.15;
  std::uint64_t seed = 1;
};

/// A part of the run, in seconds.
struct ChoicePhase {
  std::string name;
  double from = 0;
  double to = 0;
};

/// The calls that were sent in one phase.
struct PhaseResult {
  std::size_t calls = 0;
  double p50_ms = 0;
  double p99_ms = 0;
  /// Share of the calls that took longer than the limit of their route.
  double late_share = 0;
  /// Share of the calls that went to leaves that are slow for a while.
  double slow_leaf_share = 0;
};

struct ChoiceResult {
  std::vector<PhaseResult> phases;
  /// Time in seconds until leaves that have become slow get less than half of
  /// their even share of calls, and until they get three quarters of it after
  /// they have recovered; negative if never.
  double seconds_to_avoid = -1;
  double seconds_to_return = -1;
  /// Answers that one host gets from one leaf per second.
  double samples_per_second = 0;
};

/// Leaves with slots and a queue. A third of them slow down when a second call
/// runs; each has a noisy neighbour for 15% of the time, which makes it 2.5
/// times slower, and pauses for 200 to 300 ms every 4.5 to 7.5 s. A seventh
/// are 8 times slower from kSlowFrom to kSlowTo. Two bursts have 1.7 times the
/// load. Calls are not hedged, so that only the choice of leaves is compared.
class ChoiceSimulation {
 public:
  static constexpr double kSlowFrom = 10;
  static constexpr double kSlowTo = 30;
  static constexpr double kEnd = 50;

  ChoiceSimulation(const ChoiceOptions& options, const std::string& policy);

  static const std::vector<ChoicePhase>& Phases();
  ChoiceResult Run();

 private:
  struct Queued {
    ChoiceCall call;
    double work_ms = 0;
    base::Duration way{0};
  };
  struct Leaf {
    std::size_t running = 0;
    std::deque<Queued> queue;
    bool slow = false;
    bool slows_early = false;
    bool noisy = false;
    base::TimePoint paused_until{};
  };
  struct Done {
    double sent_s = 0;
    double latency_ms = 0;
    bool late = false;
    bool to_slow_leaf = false;
  };

  double Uniform(double low, double high);
  double Exponential(double mean);
  double Seconds(base::TimePoint time) const;
  double RateOf(std::size_t service) const;
  void ScheduleArrival(std::size_t service);
  void Arrive(std::size_t service);
  void StartCalls(Leaf& leaf);
  void Finish(Leaf& leaf, const Queued& queued);
  void ToggleNoise(Leaf& leaf);
  void PauseLater(Leaf& leaf);
  ChoiceResult Evaluate() const;
  /// Share of calls that went to slow leaves, sent within half a second.
  double SlowShare(double from) const;

  ChoiceOptions options_;
  EventQueue events_;
  base::TimePoint start_;
  std::mt19937_64 random_;
  /// Separate, so that all policies see the same arrivals and disturbances.
  std::mt19937_64 choice_random_;
  std::unique_ptr<ChoicePolicy> policy_;
  std::deque<Leaf> leaves_;
  std::vector<Done> done_;
};

}  // namespace berylreach::bench
