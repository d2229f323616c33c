// Objections of other witnesses to the removal of a silent host.
#pragma once

#include <map>
#include <set>
#include <vector>

#include "berylreach/base/clock.h"
#include "berylreach/model/names.h"

namespace berylreach::membership {

/// Collects the objections of other witnesses to the removal of silent hosts,
/// and decides which silent hosts may be removed.
class RemovalObjections {
 public:
  /// Sets the hosts that this host should remove unless other witnesses object;
  /// objections to the removal of any other host are dropped.
  void SetCandidates(const std::vector<model::HostName>& hosts,
                     base::TimePoint now);

  /// Records that another witness still receives heartbeats from `host`.
  void OnObjection(const model::HostName& host, base::TimePoint now);

  /// Returns the candidates about which their other witnesses must be asked
  /// now, and schedules the next inquiry about each.
  std::vector<model::HostName> HostsToInquireAbout(base::TimePoint now);

  /// Candidates that may be removed now. `hears_from_at_least_half` tells
  /// whether this host receives heartbeats from at least half of the members
  /// that it witnesses. If not, this host is probably partitioned from them,
  /// and leaves the removal to other witnesses for `kMinorityRemovalDelay`.
  std::vector<model::HostName> Removable(bool hears_from_at_least_half,
                                         base::TimePoint now) const;

 private:
  struct Candidate {
    base::TimePoint since;
    base::TimePoint next_inquiry;
    base::TimePoint objected_at = base::TimePoint::min();
  };

  std::map<model::HostName, Candidate> candidates_;
};

}  // namespace berylreach::membership
