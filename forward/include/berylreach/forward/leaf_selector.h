// Chooses the leaf of a call.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "berylreach/base/clock.h"
#include "berylreach/forward/cold_call_limit.h"
#include "berylreach/forward/configuration.h"
#include "berylreach/forward/leaf_directory.h"
#include "berylreach/forward/service_shares.h"

namespace berylreach::forward {

/// What a call needs of its leaf.
struct LeafQuery {
  const Service* service = nullptr;
  /// Regions that may serve the call; empty for all.
  const std::vector<std::string>* regions = nullptr;
  /// Leaves that the request has already tried.
  const std::vector<std::string>* tried = nullptr;
  /// Spreads ties, for example a hash of the request id.
  std::uint64_t seed = 0;
  /// Whether a leaf that is silent or backed off will do.
  bool allow_unhealthy = true;
};

/// Expected time to an answer of `leaf`, raised by a small part that depends on
/// `seed`, so that hosts do not all choose the same of several equal leaves.
base::Duration JitteredCost(const LeafRecord& leaf, std::uint64_t seed,
                            base::TimePoint now);

/// Chooses by expected time to an answer among the leaves that may be called.
class LeafSelector {
 public:
  /// The arguments must outlive the selector.
  LeafSelector(const base::Clock& clock, LeafDirectory& directory,
               ColdCallLimit& cold, const ServiceShares& shares);

  /// The best leaf, or null if none may be called now.
  std::shared_ptr<LeafRecord> Choose(const LeafQuery& query) const;

  /// A call to the leaf is sent at `now`.
  void OnSent(LeafRecord& leaf, base::TimePoint now) const;

  /// Time until a leaf of the service ends its pause; zero if one is not
  /// paused, the longest duration if there is no leaf.
  base::Duration PauseLeft(const LeafQuery& query) const;

  /// Whether the service has a leaf that is not paused and may be called at
  /// some time.
  bool HasLeaf(const LeafQuery& query) const;

  /// Whether the service has a leaf that is not known to be unresponsive.
  bool HasResponsiveLeaf(const LeafQuery& query) const;

  /// Whether the service has `count` leaves at most, so that calls of several
  /// hosts together reach no more of them.
  bool HasAtMostLeaves(const Service& service, std::size_t count) const;

  /// Whether a leaf of `service` accepts too few connections for all hosts to
  /// keep some open.
  bool HasScarceConnections(const Service& service) const;

  /// Connections of this host to one leaf of `service`. A quarter of what the
  /// leaf accepts is left free: those of a host that lost power count at the
  /// leaf until they time out, and the host that follows needs new ones at
  /// once.
  std::size_t ConnectionShare(const Service& service) const;

 private:
  template <typename Condition>
  bool AnyLeaf(const LeafQuery& query, Condition condition) const;

  const base::Clock& clock_;
  LeafDirectory& directory_;
  ColdCallLimit& cold_;
  const ServiceShares& shares_;
};

}  // namespace berylreach::forward
