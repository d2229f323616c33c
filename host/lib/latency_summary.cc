// Estimates latency quantiles with the P-square algorithm of
// Boost.Accumulators.
#include "berylreach/host/latency_summary.h"

#include <array>
#include <cstddef>

namespace berylreach::host {
namespace {

namespace accumulators = boost::accumulators;

constexpr std::array<double, 4> kQuantiles = {0.5, 0.9, 0.99, 0.999};

std::string InBraces(const std::string& labels) {
  return labels.empty() ? std::string() : "{" + labels + "}";
}

}  // namespace

LatencySummary::LatencySummary()
    : accumulator_(accumulators::extended_p_square_probabilities = kQuantiles) {
}

void LatencySummary::Add(std::chrono::microseconds latency) {
  accumulator_(std::chrono::duration<double>(latency).count());
}

void LatencySummary::AppendTo(std::string& text, const std::string& name,
                              const std::string& labels) const {
  const auto estimates = accumulators::extended_p_square(accumulator_);
  const std::string separator = labels.empty() ? "" : ",";
  for (std::size_t i = 0; i < kQuantiles.size(); ++i) {
    text += name + "{" + labels + separator + "quantile=\"" +
            std::to_string(kQuantiles[i]) + "\"} " +
            std::to_string(estimates[static_cast<std::ptrdiff_t>(i)]) + "\n";
  }
  text += name + "_sum" + InBraces(labels) + " " +
          std::to_string(accumulators::sum(accumulator_)) + "\n";
  text += name + "_count" + InBraces(labels) + " " +
          std::to_string(accumulators::count(accumulator_)) + "\n";
}

}  // namespace berylreach::host
