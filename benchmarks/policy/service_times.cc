// Drawing of service times.
#include "service_times.h"

#include <chrono>
#include <cmath>

namespace berylreach::bench {
namespace {

constexpr double kMedianSeconds = 0.010;
constexpr double kSigma = 0.35;
constexpr double kStragglers = 0.01;
constexpr double kStragglerFactor = 10;

}  // namespace

double ServiceTimes::MeanSeconds() {
  return kMedianSeconds * std::exp(kSigma * kSigma / 2) *
         (1 + kStragglers * (kStragglerFactor - 1));
}

base::Duration ServiceTimes::Draw() {
  std::lognormal_distribution<double> normal(std::log(kMedianSeconds), kSigma);
  std::uniform_real_distribution<double> uniform(0, 1);
  double seconds = normal(random_);
  // Drawn in both cases, so that runs with and without stragglers share the
  // other numbers.
  const bool slow = uniform(random_) < kStragglers;
  if (slow && stragglers_) seconds *= kStragglerFactor;
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace berylreach::bench
