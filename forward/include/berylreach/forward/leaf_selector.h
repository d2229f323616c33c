// Selects the leaf for a call.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "berylreach/base/clock.h"
#include "berylreach/forward/cold_call_limit.h"
#include "berylreach/forward/configuration.h"
#include "berylreach/forward/latency_model.h"
#include "berylreach/forward/leaf_directory.h"
#include "berylreach/forward/leaf_rate_limit.h"
#include "berylreach/forward/service_shares.h"
#include "berylreach/forward/version_permit.h"

namespace berylreach::forward {

class VersionShifts;

/// Requirements of a call on its leaf.
struct LeafQuery {
  const Service* service = nullptr;
  /// Regions whose leaves may serve the call; empty for all.
  const std::vector<std::string>* regions = nullptr;
  /// Ids of the leaves that the request has already tried.
  const std::vector<std::string>* tried = nullptr;
  /// Seed that breaks ties between leaves, for example a hash of the request
  /// id.
  std::uint64_t seed = 0;
  /// Whether a leaf with an overdue call, or one that is backed off, may be
  /// selected.
  bool allow_unhealthy = true;
  /// Whether a doubtful leaf is selected only if there is no other, since the
  /// call cannot be repeated.
  bool avoid_doubtful = false;
  /// Whether the call may serve as a trial call of a leaf that is not farther
  /// away than the best one. Hedges and retries may not.
  bool may_be_trial = false;
  /// The estimate of the calls of the request's route; null if there is none.
  const RouteLatency* route = nullptr;
};

/// Expected latency of `leaf` plus a small fraction that depends on `seed`, so
/// that hosts do not all select the same one of several equal leaves.
base::Duration JitteredCost(const LeafRecord& leaf, std::uint64_t seed,
                            base::TimePoint now,
                            const RouteLatency* route = nullptr);

/// Selects the leaf with the lowest expected latency among those that may be
/// called.
class LeafSelector {
 public:
  /// The arguments must outlive the selector.
  LeafSelector(const base::Clock& clock, LeafDirectory& directory,
               ColdCallLimit& cold, LeafRateLimit& rate,
               const ServiceShares& shares);

  /// Sets the version shifts that restrict the selection; null for none. Must
  /// outlive the selector.
  void SetVersionShifts(VersionShifts* shifts) { shifts_ = shifts; }

  /// Returns the best leaf, or null if none may be called now.
  std::shared_ptr<LeafRecord> Choose(const LeafQuery& query) const;

  /// Records that a call of `route`, an estimate of `latencies()` or null, to
  /// the leaf is sent at `now`.
  void OnSent(LeafRecord& leaf, base::TimePoint now,
              LatencyModel::RouteEstimate route = nullptr) const;

  /// The estimates of all routes.
  LatencyModel& latencies() { return latencies_; }

  /// Time until the first leaf of the service permits a call by its statements
  /// (pauses and rate limits): zero if one does so soon, the longest duration
  /// if the service has no leaf.
  base::Duration PauseLeft(const LeafQuery& query) const;

  /// Whether a leaf of the service permits a call by its statements, now or
  /// soon, even if it may not be called at this moment.
  bool HasUnpausedLeaf(const LeafQuery& query) const;

  /// Whether the service has a leaf as for HasUnpausedLeaf that is not known to
  /// be unresponsive.
  bool HasResponsiveLeaf(const LeafQuery& query) const;

  /// Whether the service has at most `count` leaves, so that several hosts
  /// together cannot call more than `count` of them.
  bool HasAtMostLeaves(const Service& service, std::size_t count) const;

  /// Whether a leaf of `service` accepts too few connections for every host to
  /// keep a useful number of them open.
  bool HasScarceConnections(const Service& service) const;

  /// Number of connections that this host may hold to one leaf of `service`. A
  /// quarter of the leaf's limit stays free: the connections of a host that
  /// lost power count at the leaf until they time out, and the replacement host
  /// needs new ones at once.
  std::size_t ConnectionShare(const Service& service) const;

 private:
  /// Time until the leaf permits a call by its statements; zero if soon.
  base::Duration StatedPauseLeft(const LeafRecord& leaf,
                                 base::TimePoint now) const;
  /// What the version shift of the service permits; empty if there is none.
  std::optional<VersionPermit> PermitFor(const LeafQuery& query,
                                         bool first_attempt) const;
  /// As Choose, among the leaves that meet `condition`.
  template <typename Condition>
  std::shared_ptr<LeafRecord> ChooseAmong(const LeafQuery& query,
                                          Condition condition) const;
  std::shared_ptr<LeafRecord> ChoosePermitted(
      const LeafQuery& query, const VersionPermit& permit) const;
  /// Whether all listed leaves are of versions that may be used only if no
  /// other is listed, or not at all.
  bool IsOnlyLastResortListed(const LeafQuery& query,
                              const VersionPermit& permit) const;
  template <typename Condition>
  bool AnyLeaf(const LeafQuery& query, Condition condition) const;

  const base::Clock& clock_;
  LeafDirectory& directory_;
  ColdCallLimit& cold_;
  LeafRateLimit& rate_;
  const ServiceShares& shares_;
  VersionShifts* shifts_ = nullptr;
  LatencyModel latencies_;
};

}  // namespace berylreach::forward
