// Shares of one host in the rate limits that leaves state for all hosts
// together.
#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "berylreach/base/clock.h"
#include "berylreach/forward/host_entry.h"
#include "berylreach/forward/leaf_directory.h"
#include "berylreach/forward/leaf_record.h"
#include "berylreach/forward/service_shares.h"

namespace berylreach::forward {

/// Keeps this host within its share of each limit, by a token bucket for each
/// leaf. The shares follow from what all hosts know alike, so that no messages
/// are needed: hosts of the leaf's region have larger ones, since hosts prefer
/// the leaves of their own region; for a service whose requests are divided
/// among hosts, its owners do. The buckets of all hosts together hold one
/// second of the limit and a few calls. If that is less than a call for each
/// host, some hosts get a bucket of one call and the others only rare trial
/// calls, by which they notice that the limit has ended. Not thread-safe.
class LeafRateLimit {
 public:
  /// `shares` must outlive the limit.
  explicit LeafRateLimit(const ServiceShares& shares) : shares_(shares) {}

  /// Sets the registered hosts, including `self`.
  void SetHosts(const std::string& self, const Location& location,
                const std::vector<HostEntry>& hosts);

  /// Time from which this host may call the leaf; `now` if it may do so at
  /// once.
  base::TimePoint MayCallAt(const LeafRecord& leaf, base::TimePoint now);
  /// Records a call to a leaf that states a limit.
  void OnCall(const LeafRecord& leaf, base::TimePoint now);
  /// Forgets leaves that have had no calls for a long time.
  void Tick(base::TimePoint now);

 private:
  /// What this host may send to one leaf.
  struct Allowance {
    /// Size of the token bucket in calls.
    double capacity = 0;
    /// Calls per second.
    double rate = 0;
  };
  struct Bucket {
    /// Calls that were left when the last one was sent.
    double tokens = 0;
    base::TimePoint last_call{};
  };
  struct Host {
    std::string name;
    std::string region;
  };
  /// Place of this host among those that share a leaf's limit: the hosts of the
  /// leaf's region form one group, all others the second.
  struct Position {
    std::size_t group_size = 0;
    /// Part of the limit that this host's group divides among its hosts, 0
    /// to 1.
    double group_share = 0;
    /// Number of hosts of the group that precede this one, by rendezvous
    /// weight.
    std::size_t rank = 0;
  };

  Allowance AllowanceFor(const LeafRecord& leaf);
  const Position& PositionFor(const LeafRecord& leaf);
  double TokensLeft(const LeafRecord& leaf, const Allowance& allowance,
                    base::TimePoint now) const;
  /// Time from which this host may make a trial call, if it has no allowance.
  base::TimePoint NextTrialAt(const LeafRecord& leaf,
                              base::TimePoint now) const;

  const ServiceShares& shares_;
  std::string self_;
  std::string region_;
  std::vector<Host> hosts_;
  /// By id of the leaf; computed when first needed.
  std::unordered_map<std::string, Position> positions_;
  std::unordered_map<std::string, Bucket> buckets_;
};

}  // namespace berylreach::forward
