// Policies of the literature, with which the choice of forward::LeafSelector is
// compared.
#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>

#include "choice_policy.h"

namespace berylreach::bench {
namespace {

enum class Kind {
  kTwoChoices,
  kPeakEwma,
  kLeastLatency,
  kAimd,
  kGradient,
  kVegas,
  kSlots,
  kSteepLoad
};

/// Time constant of the decay of estimates without samples, in milliseconds.
constexpr double kDecayMs = 6000;
constexpr double kPeakDecayMs = 2000;
constexpr double kMaxLimit = 64;

double Milliseconds(base::Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

/// What a host knows of a leaf.
struct LeafView {
  std::vector<base::TimePoint> running;
  base::TimePoint last_sample{};
  /// Peak EWMA in milliseconds.
  double peak = 0;
  /// Ratio of latency to the mean of the route.
  double factor = 1;
  /// Ratios of latency over the long run, and their minimum.
  double long_ratio = 1;
  double base_ratio = 1;
  double limit = 2;
};

class ViewPolicy : public ChoicePolicy {
 public:
  ViewPolicy(Kind kind, const base::Clock& clock,
             const ChoiceDeployment& deployment)
      : kind_(kind), clock_(clock), deployment_(deployment) {
    views_.resize(deployment.hosts * deployment.services * deployment.replicas);
    route_means_.resize(deployment.hosts, {0, 0, 0, 0});
  }

  void Choose(ChoiceCall& call, std::mt19937_64& random) override {
    std::vector<std::size_t> listed;
    for (std::size_t i = 0; i < deployment_.replicas; ++i)
      if (deployment_.IsListed(call.service, i)) listed.push_back(i);
    std::shuffle(listed.begin(), listed.end(), random);
    if (kind_ == Kind::kTwoChoices && listed.size() > 2) listed.resize(2);
    double best = std::numeric_limits<double>::max();
    for (const std::size_t replica : listed) {
      ChoiceCall candidate = call;
      candidate.replica = replica;
      const double cost = Cost(candidate);
      if (cost >= best) continue;
      best = cost;
      call.replica = replica;
    }
    ViewOf(call).running.push_back(clock_.Now());
  }

  void OnAnswer(const ChoiceCall& call) override {
    LeafView& view = ViewOf(call);
    const base::TimePoint now = clock_.Now();
    const auto concurrent = static_cast<double>(view.running.size());
    view.running.erase(
        std::find(view.running.begin(), view.running.end(), call.sent));
    const double latency = Milliseconds(now - call.sent);
    const double age = Milliseconds(now - view.last_sample);
    const double weight = 1 - std::exp(-age / kPeakDecayMs);
    view.peak = latency > view.peak
                    ? latency
                    : view.peak + (latency - view.peak) * weight;
    double& mean = route_means_[call.host][call.route];
    if (mean == 0) mean = latency;
    const double ratio = std::clamp(latency / mean, 1.0 / 16, 16.0);
    mean += (std::min(latency, 4 * mean) - mean) / 16;
    view.factor = Factor(view) + (ratio - Factor(view)) / 8;
    view.last_sample = now;
    UpdateLimit(view, ratio, concurrent);
  }

 private:
  LeafView& ViewOf(const ChoiceCall& call) {
    return views_[(call.host * deployment_.services + call.service) *
                      deployment_.replicas +
                  call.replica];
  }

  double Factor(const LeafView& view) const {
    const double age =
        std::min(1.0, Milliseconds(clock_.Now() - view.last_sample) / kDecayMs);
    return view.factor + (1 - view.factor) * age;
  }

  double Cost(const ChoiceCall& call) {
    const LeafView& view = ViewOf(call);
    const auto running = static_cast<double>(view.running.size());
    if (kind_ == Kind::kTwoChoices) return running;
    if (kind_ == Kind::kPeakEwma) {
      const double age = Milliseconds(clock_.Now() - view.last_sample);
      return view.peak * std::exp(-age / kPeakDecayMs) * (running + 1) +
             0.001 * running;
    }
    const double mean = std::max(1.0, route_means_[call.host][call.route]);
    const auto slots = static_cast<double>(deployment_.slots);
    const double slope = kind_ == Kind::kSteepLoad ? 1 : 0.2;
    double cost = mean * Factor(view) *
                  (1 + slope * running / slots +
                   std::max(0.0, running + 1 - slots) / slots);
    if (!view.running.empty()) {
      const double waited = Milliseconds(clock_.Now() - view.running.front());
      if (waited > 3 * mean * Factor(view)) cost += 150;
    }
    // A leaf at its limit is used only if all are.
    const bool limited =
        kind_ != Kind::kLeastLatency && kind_ != Kind::kSteepLoad;
    if (limited && running >= std::floor(view.limit)) cost += 100000;
    return cost;
  }

  void UpdateLimit(LeafView& view, double ratio, double concurrent) const {
    // The limit rises only while it is used.
    const bool used = concurrent * 2 >= view.limit;
    if (kind_ == Kind::kAimd) {
      if (ratio > 2) {
        view.limit *= 0.9;
      } else if (used) {
        view.limit += 1 / view.limit;
      }
    }
    if (kind_ == Kind::kGradient) {
      view.long_ratio += (ratio - view.long_ratio) / 100;
      const double gradient =
          std::clamp(1.5 * view.long_ratio / ratio, 0.5, 1.0);
      const double target = view.limit * gradient + std::sqrt(view.limit) / 2;
      if (target < view.limit || used)
        view.limit += 0.2 * (target - view.limit);
    }
    if (kind_ == Kind::kVegas) {
      view.base_ratio = std::min(view.base_ratio * 1.01, ratio);
      const double queue = view.limit * (1 - view.base_ratio / ratio);
      if (queue > 2) view.limit -= 1;
      if (queue < 1 && used) view.limit += 1 / view.limit;
    }
    view.limit = std::clamp(view.limit, 1.0, kMaxLimit);
  }

  Kind kind_;
  const base::Clock& clock_;
  ChoiceDeployment deployment_;
  std::vector<LeafView> views_;
  /// Mean latency in milliseconds by host and route.
  std::vector<std::vector<double>> route_means_;
};

}  // namespace

std::vector<std::string> PolicyNames() {
  return {"selector",    "selector_overdue", "selector_routes",
          "two_choices", "peak_ewma",        "least_latency",
          "aimd",        "gradient",         "vegas",
          "slots",       "steep_load"};
}

std::unique_ptr<ChoicePolicy> MakePolicy(const std::string& name,
                                         const base::Clock& clock,
                                         const ChoiceDeployment& deployment) {
  if (name == "selector")
    return MakeSelectorPolicy(clock, deployment, RouteUse::kNone);
  if (name == "selector_overdue")
    return MakeSelectorPolicy(clock, deployment, RouteUse::kOverdue);
  if (name == "selector_routes")
    return MakeSelectorPolicy(clock, deployment, RouteUse::kChoice);
  Kind kind = Kind::kTwoChoices;
  if (name == "peak_ewma") kind = Kind::kPeakEwma;
  if (name == "least_latency") kind = Kind::kLeastLatency;
  if (name == "aimd") kind = Kind::kAimd;
  if (name == "gradient") kind = Kind::kGradient;
  if (name == "vegas") kind = Kind::kVegas;
  if (name == "slots") kind = Kind::kSlots;
  if (name == "steep_load") kind = Kind::kSteepLoad;
  return std::make_unique<ViewPolicy>(kind, clock, deployment);
}

}  // namespace berylreach::bench
