// Objections of other witnesses to the removal of a silent host.
#pragma once

#include <map>
#include <set>
#include <vector>

#include "berylreach/base/clock.h"
#include "berylreach/model/names.h"

namespace berylreach::membership {

/// Collects the objections of other witnesses to the removal of silent hosts,
/// and decides which of them may be removed.
class RemovalObjections {
 public:
  /// Sets the hosts whose removal is due; objections for other hosts are
  /// dropped.
  void SetCandidates(const std::vector<model::HostName>& due,
                     base::TimePoint now);

  /// Records that another witness still receives heartbeats from `host`.
  void OnObjection(const model::HostName& host, base::TimePoint now);

  /// Returns the hosts about which the other witnesses must be asked now, and
  /// schedules the next inquiry about them.
  std::vector<model::HostName> HostsToInquireAbout(base::TimePoint now);

  /// Hosts that may be removed. `hears_majority` tells whether this host
  /// receives heartbeats from at least half of the members that it witnesses.
  /// If not, it is probably partitioned from them and leaves the removal to
  /// others for `kMinorityRemovalDelay`.
  std::vector<model::HostName> Removable(bool hears_majority,
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
