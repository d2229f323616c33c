// Estimates from which latency an answer of the target version is slow.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <utility>

#include "berylreach/base/clock.h"
#include "berylreach/forward/leaf_record.h"

namespace berylreach::forward {

/// Learns the latency of the versions that the target is compared with, by
/// route and zone. A zone without samples is estimated by leaves at the same
/// distance, or farther away.
class SlownessEstimate {
 public:
  /// Records an answer of a leaf of another version than the target.
  void OnAnswer(const std::string& route, const std::string& zone,
                Distance distance, base::Duration latency);

  /// Returns the latency above which an answer is slow; empty if nothing is
  /// known to compare it with.
  std::optional<base::Duration> Threshold(const std::string& route,
                                          const std::string& zone,
                                          Distance distance) const;

 private:
  /// A smoothed mean.
  struct Mean {
    std::size_t samples = 0;
    double value = 0;

    void Add(double sample);
    bool IsKnown() const;
  };

  std::map<std::pair<std::string, std::string>, Mean> by_zone_;
  std::map<std::pair<std::string, Distance>, Mean> by_distance_;
};

}  // namespace berylreach::forward
