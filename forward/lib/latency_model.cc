// Keeps the estimates of routes by name.
#include "berylreach/forward/latency_model.h"

#include <cstddef>

namespace berylreach::forward {
namespace {

/// Number of estimates beyond which those without running calls or leaves are
/// dropped, since configurations may have removed their routes.
constexpr std::size_t kMaxEstimates = 1024;

}  // namespace

LatencyModel::RouteEstimate LatencyModel::Of(const std::string& route,
                                             const std::string& service) {
  if (estimates_.size() > kMaxEstimates) {
    std::erase_if(estimates_, [](const auto& entry) {
      return entry.second.use_count() == 1;
    });
  }
  RouteEstimate& estimate = estimates_[route + "\n" + service];
  if (estimate == nullptr) estimate = std::make_shared<RouteLatency>();
  return estimate;
}

}  // namespace berylreach::forward
