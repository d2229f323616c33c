// Limits the rate of calls to cold leaves.
#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "berylreach/base/clock.h"

namespace berylreach::forward {

/// The limit on calls to one cold leaf, for all hosts together: in each second,
/// the cold rate of its service (Service::cold_rate) times `overage`, plus
/// `slack` calls.
struct ColdCallLimits {
  double overage = 1;
  double slack = 0;

  friend bool operator==(const ColdCallLimits&,
                         const ColdCallLimits&) = default;
};

/// Gives each host an equal share of the calls that a cold leaf can take,
/// evenly spaced. If the share is less than one call per second, some hosts get
/// one call per second and the others none. Not thread-safe.
class ColdCallLimit {
 public:
  ColdCallLimit(const base::Clock& clock, ColdCallLimits limits);

  /// Sets the hosts that may call the same leaves, including `self`. Until
  /// then, no cold leaf is called.
  void SetHosts(std::string self, std::vector<std::string> hosts);

  /// Whether the cold leaf may be called now. `rate` is the cold rate of its
  /// service in calls per second.
  bool MayCall(const std::string& leaf, double rate) const;
  /// Records that a call to the cold leaf was sent.
  void OnCall(const std::string& leaf);
  /// Forgets the last calls that are too long ago to delay another call.
  void Tick();

 private:
  /// Minimum time between two calls of this host to the leaf; the largest
  /// duration if this host may not call the leaf.
  base::Duration Spacing(const std::string& leaf, double rate) const;

  const base::Clock& clock_;
  ColdCallLimits limits_;
  std::string self_;
  std::vector<std::string> hosts_;
  std::unordered_map<std::string, base::TimePoint> last_call_;
};

}  // namespace berylreach::forward
