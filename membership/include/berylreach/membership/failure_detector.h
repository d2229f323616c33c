// Failure detection by witnesses.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "berylreach/base/clock.h"
#include "berylreach/model/member.h"
#include "berylreach/model/names.h"

namespace berylreach::membership {

/// Tracks the heartbeats of the members that this host witnesses.
class FailureDetector {
 public:
  explicit FailureDetector(model::HostName self) : self_(std::move(self)) {}

  /// Tracks the members that this host witnesses; timers of members tracked
  /// before go on.
  void StartEpoch(const std::vector<model::Member>& members,
                  base::TimePoint now);

  /// Records a heartbeat.
  void OnHeartbeat(const model::HostName& host, std::uint64_t incarnation,
                   base::TimePoint now);

  /// Restarts all timers; called when this host was frozen.
  void RestartTimers(base::TimePoint now);

  /// Members without a heartbeat for `kFailureTimeout`.
  std::vector<model::HostName> Suspects(base::TimePoint now) const;

  /// Members without a heartbeat for `span`.
  std::vector<model::HostName> SilentFor(base::Duration span,
                                         base::TimePoint now) const;

  /// Whether `host` with that incarnation is witnessed by this host and was
  /// heard within `kFailureTimeout`.
  bool HeardRecently(const model::HostName& host, std::uint64_t incarnation,
                     base::TimePoint now) const;

  /// Whether at least half of the witnessed members were heard within
  /// `kFailureTimeout`.
  bool HearsMajority(base::TimePoint now) const;

  /// Suspects whose removal this host proposes now by its rank.
  std::vector<model::HostName> RemovalsDue(base::TimePoint now) const;

 private:
  struct Tracked {
    std::uint64_t incarnation = 0;
    std::size_t rank = 0;
    base::TimePoint last_heard;
  };

  model::HostName self_;
  std::map<model::HostName, Tracked> tracked_;
};

}  // namespace berylreach::membership
