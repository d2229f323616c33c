// Parameters and sampling of the service time distribution.
#include "service_times.h"

#include <chrono>
#include <cmath>

namespace berylreach::bench {
namespace {

constexpr double kMedianSeconds = 0.010;
constexpr double kSigma = 0.35;
constexpr double kStragglerFraction = 0.01;
constexpr double kStragglerFactor = 10;

}  // namespace

double ServiceTimes::MeanSeconds() {
  return kMedianSeconds * std::exp(kSigma * kSigma / 2) *
         (1 + kStragglerFraction * (kStragglerFactor - 1));
}

base::Duration ServiceTimes::Draw() {
  std::lognormal_distribution<double> lognormal(std::log(kMedianSeconds),
                                                kSigma);
  std::uniform_real_distribution<double> uniform(0, 1);
  double seconds = lognormal(random_);
  // Drawn even without stragglers, so that runs with and without them use the
  // same random numbers.
  const bool straggler = uniform(random_) < kStragglerFraction;
  if (straggler && stragglers_) seconds *= kStragglerFactor;
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace berylreach::bench
