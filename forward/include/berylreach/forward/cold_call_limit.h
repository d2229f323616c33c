// Bounds the calls that cold leaves get.
#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "berylreach/base/clock.h"

namespace berylreach::forward {

/// The bound on calls to one cold leaf, all hosts together: in each second
/// `rate` of its service times `overage`, and `slack`.
struct ColdCallLimits {
  double overage = 1;
  double slack = 0;

  friend bool operator==(const ColdCallLimits&,
                         const ColdCallLimits&) = default;
};

/// Gives each host an equal part of the calls that a cold leaf bears, spaced
/// evenly. If that is less than one call, some hosts get one and the others
/// none. Not thread-safe.
class ColdCallLimit {
 public:
  ColdCallLimit(const base::Clock& clock, ColdCallLimits limits);

  /// The hosts that may call the same leaves, `self` among them. No cold leaf
  /// is called before they are known.
  void SetHosts(std::string self, std::vector<std::string> hosts);

  /// Whether a call to the cold leaf may go now; `rate` is that of its service
  /// in calls per second.
  bool MayCall(const std::string& leaf, double rate) const;
  /// A call to the cold leaf was sent.
  void OnCall(const std::string& leaf);
  /// Forgets leaves not called for longer than any spacing.
  void Tick();

 private:
  /// Least time between two calls of this host; the largest duration if it may
  /// not call the leaf.
  base::Duration Spacing(const std::string& leaf, double rate) const;

  const base::Clock& clock_;
  ColdCallLimits limits_;
  std::string self_;
  std::vector<std::string> hosts_;
  std::unordered_map<std::string, base::TimePoint> last_call_;
};

}  // namespace berylreach::forward
