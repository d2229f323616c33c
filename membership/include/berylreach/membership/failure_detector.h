// Detection of failed members by missed heartbeats.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "berylreach/base/clock.h"
#include "berylreach/model/member.h"
#include "berylreach/model/names.h"

namespace berylreach::membership {

/// Tracks the heartbeats of the members of which this host is a witness.
class FailureDetector {
 public:
  explicit FailureDetector(model::HostName self) : self_(std::move(self)) {}

  /// Tracks those of `members` that this host witnesses. The timers of
  /// incarnations that were tracked before continue.
  void StartEpoch(const std::vector<model::Member>& members,
                  base::TimePoint now);

  /// Records a heartbeat; ignores hosts and incarnations that are not tracked.
  void OnHeartbeat(const model::HostName& host, std::uint64_t incarnation,
                   base::TimePoint now);

  /// Restarts all timers. Needed after this process was suspended, since it may
  /// have missed heartbeats.
  void RestartTimers(base::TimePoint now);

  /// Tracked members without a heartbeat for `kFailureTimeout`.
  std::vector<model::HostName> Suspects(base::TimePoint now) const;

  /// Tracked members without a heartbeat for `span`.
  std::vector<model::HostName> SilentFor(base::Duration span,
                                         base::TimePoint now) const;

  /// Whether this host witnesses that incarnation of `host` and has received a
  /// heartbeat from it within `kFailureTimeout`.
  bool HasRecentHeartbeat(const model::HostName& host,
                          std::uint64_t incarnation, base::TimePoint now) const;

  /// Whether at least half of the tracked members sent a heartbeat within
  /// `kFailureTimeout`.
  bool HearsFromAtLeastHalf(base::TimePoint now) const;

  /// Suspects that this host should remove unless other witnesses object. The
  /// witness of rank n waits n times `kProposalStagger` longer.
  std::vector<model::HostName> RemovalCandidates(base::TimePoint now) const;

 private:
  struct Tracked {
    std::uint64_t incarnation = 0;
    /// Rank of this host among the witnesses of the member.
    std::size_t rank = 0;
    /// Time of the last heartbeat, or of the start of tracking or restart of
    /// the timer if that was later.
    base::TimePoint last_heartbeat;
  };

  model::HostName self_;
  std::map<model::HostName, Tracked> tracked_;
};

}  // namespace berylreach::membership
