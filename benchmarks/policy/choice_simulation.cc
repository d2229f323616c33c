// Arrivals, leaves and results of the simulation of choices.
#include "choice_simulation.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <numeric>

namespace berylreach::bench {
namespace {

using DoubleMs = std::chrono::duration<double, std::milli>;

constexpr double kCheapMs = 10;
constexpr double kCostlyMs = 60;
constexpr double kCostlyShare = 0.1;
constexpr double kSigma = 0.35;
constexpr double kCheapLimitMs = 100;
constexpr double kCostlyLimitMs = 300;
constexpr double kBurst = 1.7;
constexpr std::size_t kSlowOf = 7;
constexpr double kSlowFactor = 8;
constexpr double kNoisyFactor = 2.5;
constexpr double kNoisyMs = 1500;
constexpr double kQuietMs = 8500;
constexpr double kEarlySlowdown = 0.8;

base::Duration FromMs(double ms) {
  return std::chrono::duration_cast<base::Duration>(DoubleMs(ms));
}

double Quantile(std::vector<double>& values, double quantile) {
  if (values.empty()) return 0;
  const auto index = static_cast<std::size_t>(
      quantile * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(),
                   values.begin() + static_cast<std::ptrdiff_t>(index),
                   values.end());
  return values[index];
}

}  // namespace

const std::vector<ChoicePhase>& ChoiceSimulation::Phases() {
  static const std::vector<ChoicePhase> phases = {
      {"even", 3, 10},        {"slow_new", 10, 13}, {"slow", 13, 20},
      {"slow_burst", 20, 23}, {"return", 30, 33},   {"burst", 40, 43}};
  return phases;
}

ChoiceSimulation::ChoiceSimulation(const ChoiceOptions& options,
                                   const std::string& policy)
    : options_(options),
      random_(options.seed),
      choice_random_(options.seed + 1000) {
  // The default time of a clock means "never" in the records of leaves.
  events_.At(events_.Now() + std::chrono::hours(1), [] {});
  events_.RunNext();
  start_ = events_.Now();
  policy_ = MakePolicy(policy, events_.clock(), options_.deployment);
  const ChoiceDeployment& deployment = options_.deployment;
  for (std::size_t service = 0; service < deployment.services; ++service) {
    for (std::size_t replica = 0; replica < deployment.replicas; ++replica) {
      Leaf& leaf = leaves_.emplace_back();
      // The service with one leaf has no slow leaf.
      leaf.slow = service + 1 < deployment.services &&
                  (leaves_.size() - 1) % kSlowOf == 0;
      leaf.slows_early = random_() % 3 == 0;
      leaf.noisy = true;
      ToggleNoise(leaf);
      PauseLater(leaf);
    }
    ScheduleArrival(service);
  }
}

double ChoiceSimulation::Uniform(double low, double high) {
  return std::uniform_real_distribution<double>(low, high)(random_);
}

double ChoiceSimulation::Exponential(double mean) {
  return std::exponential_distribution<double>(1 / mean)(random_);
}

double ChoiceSimulation::Seconds(base::TimePoint time) const {
  return std::chrono::duration<double>(time - start_).count();
}

double ChoiceSimulation::RateOf(std::size_t service) const {
  const ChoiceDeployment& deployment = options_.deployment;
  const double work =
      std::exp(kSigma * kSigma / 2) *
      (kCheapMs * (1 - kCostlyShare) + kCostlyMs * kCostlyShare);
  const double capacity =
      1000 * static_cast<double>(deployment.replicas * deployment.slots) / work;
  // The service with one leaf left gets half of the calls, since the leaf would
  // be overloaded whatever is chosen.
  const double scale = service + 1 == deployment.services ? 0.5 : 1;
  const double now = Seconds(events_.Now());
  const bool burst = (now >= 20 && now < 23) || (now >= 40 && now < 43);
  return capacity * options_.load * scale * (burst ? kBurst : 1);
}

void ChoiceSimulation::ScheduleArrival(std::size_t service) {
  events_.After(FromMs(Exponential(1000 / RateOf(service))),
                [this, service] { Arrive(service); });
}

void ChoiceSimulation::Arrive(std::size_t service) {
  if (Seconds(events_.Now()) >= kEnd) return;
  ScheduleArrival(service);
  const ChoiceDeployment& deployment = options_.deployment;
  const std::size_t owners =
      options_.owners == 0 ? deployment.hosts : options_.owners;
  ChoiceCall call{
      .host = (service * owners + random_() % owners) % deployment.hosts,
      .service = service,
      .route = Uniform(0, 1) < kCostlyShare ? 1UL : 0UL,
      .sent = events_.Now()};
  policy_->Choose(call, choice_random_);
  const double between_zones_ms = Uniform(1.4, 3.4);
  const double way_ms = call.host % 3 == call.replica ? 0.3 : between_zones_ms;
  const double work = (call.route == 1 ? kCostlyMs : kCheapMs) *
                      std::lognormal_distribution<double>(0, kSigma)(random_);
  Leaf& leaf = leaves_[service * deployment.replicas + call.replica];
  const Queued queued{.call = call, .work_ms = work, .way = FromMs(way_ms)};
  events_.After(queued.way, [this, &leaf, queued] {
    leaf.queue.push_back(queued);
    StartCalls(leaf);
  });
}

void ChoiceSimulation::StartCalls(Leaf& leaf) {
  const base::TimePoint now = events_.Now();
  if (now < leaf.paused_until) return;
  const double at = Seconds(now);
  while (leaf.running < options_.deployment.slots && !leaf.queue.empty()) {
    const Queued queued = leaf.queue.front();
    leaf.queue.pop_front();
    double time = queued.work_ms;
    if (leaf.slow && at >= kSlowFrom && at < kSlowTo) time *= kSlowFactor;
    if (leaf.noisy) time *= kNoisyFactor;
    if (leaf.slows_early)
      time *= 1 + kEarlySlowdown * static_cast<double>(leaf.running);
    ++leaf.running;
    events_.After(FromMs(time),
                  [this, &leaf, queued] { Finish(leaf, queued); });
  }
}

void ChoiceSimulation::Finish(Leaf& leaf, const Queued& queued) {
  if (events_.Now() < leaf.paused_until) {
    events_.At(leaf.paused_until,
               [this, &leaf, queued] { Finish(leaf, queued); });
    return;
  }
  --leaf.running;
  StartCalls(leaf);
  events_.After(queued.way, [this, &leaf, queued] {
    policy_->OnAnswer(queued.call);
    const double latency = DoubleMs(events_.Now() - queued.call.sent).count();
    const double limit =
        queued.call.route == 1 ? kCostlyLimitMs : kCheapLimitMs;
    done_.push_back({.sent_s = Seconds(queued.call.sent),
                     .latency_ms = latency,
                     .late = latency > limit,
                     .to_slow_leaf = leaf.slow});
  });
}

void ChoiceSimulation::ToggleNoise(Leaf& leaf) {
  leaf.noisy = !leaf.noisy;
  events_.After(FromMs(Exponential(leaf.noisy ? kNoisyMs : kQuietMs)),
                [this, &leaf] {
                  if (Seconds(events_.Now()) < kEnd) ToggleNoise(leaf);
                });
}

void ChoiceSimulation::PauseLater(Leaf& leaf) {
  events_.After(FromMs(Uniform(4500, 7500)), [this, &leaf] {
    if (Seconds(events_.Now()) >= kEnd) return;
    leaf.paused_until = events_.Now() + FromMs(Uniform(200, 300));
    events_.At(leaf.paused_until, [this, &leaf] { StartCalls(leaf); });
    PauseLater(leaf);
  });
}

ChoiceResult ChoiceSimulation::Run() {
  while (events_.RunNext()) {
  }
  return Evaluate();
}

double ChoiceSimulation::SlowShare(double from) const {
  std::size_t calls = 0;
  std::size_t slow = 0;
  for (const Done& done : done_) {
    if (done.sent_s < from || done.sent_s >= from + 0.5) continue;
    ++calls;
    if (done.to_slow_leaf) ++slow;
  }
  return calls == 0 ? 0
                    : static_cast<double>(slow) / static_cast<double>(calls);
}

ChoiceResult ChoiceSimulation::Evaluate() const {
  ChoiceResult result;
  for (const ChoicePhase& phase : Phases()) {
    PhaseResult of_phase;
    std::vector<double> latencies;
    double late = 0;
    double slow = 0;
    for (const Done& done : done_) {
      if (done.sent_s < phase.from || done.sent_s >= phase.to) continue;
      latencies.push_back(done.latency_ms);
      late += done.late ? 1 : 0;
      slow += done.to_slow_leaf ? 1 : 0;
    }
    const auto calls =
        static_cast<double>(std::max<std::size_t>(1, latencies.size()));
    of_phase.calls = latencies.size();
    of_phase.late_share = late / calls;
    of_phase.slow_leaf_share = slow / calls;
    of_phase.p50_ms = Quantile(latencies, 0.5);
    of_phase.p99_ms = Quantile(latencies, 0.99);
    result.phases.push_back(of_phase);
  }
  const double even = result.phases.front().slow_leaf_share;
  for (double at = kSlowFrom; at < kSlowTo; at += 0.5) {
    if (SlowShare(at) >= even / 2) continue;
    result.seconds_to_avoid = at - kSlowFrom;
    break;
  }
  for (double at = kSlowTo; at < kEnd; at += 0.5) {
    if (SlowShare(at) < 0.75 * even) continue;
    result.seconds_to_return = at - kSlowTo;
    break;
  }
  const ChoiceDeployment& deployment = options_.deployment;
  const std::size_t callers =
      options_.owners == 0 ? deployment.hosts : options_.owners;
  result.samples_per_second =
      RateOf(0) / static_cast<double>(callers * deployment.replicas);
  return result;
}

}  // namespace berylreach::bench
