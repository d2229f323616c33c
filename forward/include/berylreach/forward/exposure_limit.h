// Limits one host's calls to the target version of a shift.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "berylreach/forward/version_shift.h"

namespace berylreach::forward {

/// Returns the calls of the slack that `self` may use: the hosts divide a part
/// of it equally, and a fraction of a call is given as a whole call to as many
/// hosts as the fractions add up to. `order` selects these hosts.
double SlackPart(const ExposureLimits& limits, const std::string& self,
                 const std::vector<std::string>& hosts,
                 const std::string& order);

/// Permits calls to the target version up to a share of this host's calls that
/// have reached the service, plus a part of the slack. Calls that may not have
/// reached a leaf earn nothing, so the sum over hosts stays within the bound
/// whatever the hosts know of each other.
class ExposureLimit {
 public:
  ExposureLimit() = default;
  ExposureLimit(double share, double slack_part)
      : share_(share), earned_(slack_part) {}

  /// Records that a call of any version has reached a leaf.
  void OnArrived() { earned_ += share_; }
  /// Records that a call is sent to the target version.
  void OnTargetSent() { used_ += 1; }
  /// Begins another order for the same version: what was saved under the former
  /// order is kept up to `slack_part`.
  void Restart(double slack_part);

  /// Whether a call to the target is within the limit.
  bool MayCall() const { return used_ + 1 <= earned_; }
  /// Whether it is within the part of the limit that is not reserved for the
  /// load test.
  bool MayCallWithReserve() const;

 private:
  double share_ = 0;
  double earned_ = 0;
  double used_ = 0;
};

}  // namespace berylreach::forward
