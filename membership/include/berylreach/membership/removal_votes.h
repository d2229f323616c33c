// Whether the other witnesses of a silent host allow its removal.
#pragma once

#include <map>
#include <set>
#include <vector>

#include "berylreach/base/clock.h"
#include "berylreach/model/names.h"

namespace berylreach::membership {

/// Keeps the objections of other witnesses against removing silent hosts.
class RemovalVotes {
 public:
  /// Sets the hosts whose removal is due; objections against others are
  /// forgotten.
  void SetCandidates(const std::vector<model::HostName>& due,
                     base::TimePoint now);

  /// Another witness hears `host`.
  void OnObjection(const model::HostName& host, base::TimePoint now);

  /// Hosts about which the other witnesses must be asked now.
  std::vector<model::HostName> HostsToInquireAbout(base::TimePoint now);

  /// Hosts that may be removed. `hears_majority` tells whether this host hears
  /// at least half of the hosts that it witnesses; if not, it is probably cut
  /// off itself and leaves the removal to others for a time.
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
