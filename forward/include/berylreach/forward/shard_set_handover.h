// Decides when a version of the configuration that names new shards is put in
// force.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "berylreach/base/clock.h"
#include "berylreach/forward/configuration.h"
#include "berylreach/forward/leaf_directory.h"
#include "berylreach/forward/route_table.h"

namespace berylreach::forward {

/// Holds a version of the configuration back that names other shards for a
/// route than those in use, until the new set is ready to take the route's
/// requests. The leaves of a new set have often just started, and cold leaves
/// accept few calls. The whole version waits, since a host must handle no
/// request by an older version once it has handled one by a newer one.
///
/// The newest version is put in force when the first of these holds:
/// - for each route that waits, enough shards of the new set have a usable leaf
///   that is not cold, and kMinPreparation has passed since the set was named;
/// - the set in use of a route can no longer reach its minimum coverage;
/// - kMaxWaitShare of the time within which versions must be applied has passed
///   since the first version that waits arrived;
/// - the time within which that version must be applied, counted from its
///   acknowledgement, ends within kApplyMargin.
/// A version that takes regions away from a route whose shards it changes does
/// not wait. Not thread-safe.
class ShardSetHandover {
 public:
  using Table = std::shared_ptr<const RouteTable>;

  /// Time within which hosts normally all learn of a version, and which this
  /// host needs to open connections even if the new set is ready. A host that
  /// used the new set earlier would ask hosts to run groups of shards that they
  /// do not know.
  static constexpr std::chrono::milliseconds kMinPreparation{500};
  static constexpr double kMaxWaitShare = 0.65;
  /// Covers the interval at which Tick is called, and the adoption.
  static constexpr std::chrono::milliseconds kApplyMargin{150};

  /// Why the newest set was taken into use.
  enum class Cause {
    kReady,
    kTime,
    /// The set in use lacks leaves, or a region of it was taken away.
    kOldSetGone,
  };

  /// A route that began to wait for a new set, or that has taken one into use.
  struct Change {
    std::string route;
    /// The version that names the new set.
    std::uint64_t version = 0;
    /// Unset if the route waits.
    std::optional<Cause> cause;
    /// Time since the version that named the set arrived.
    base::Duration waited{0};
    /// For a route that begins to wait: the time for which it waits at most.
    base::Duration max_wait{0};

    friend bool operator==(const Change&, const Change&) = default;
  };

  /// `apply_time` is the time within which a version must be applied. The
  /// arguments must outlive the handover.
  ShardSetHandover(const base::Clock& clock, const LeafDirectory& directory,
                   std::chrono::milliseconds apply_time);

  /// Handles a version that is newer than any before. Returns the version to
  /// put in force now; empty if it waits. Without `in_force` it does not wait.
  /// The store acknowledged the version after `acknowledged_after`.
  std::optional<Configuration> OnConfiguration(
      Configuration newest, const Configuration* in_force,
      base::TimePoint acknowledged_after);

  /// Returns the version that has waited, if it is to be put in force now.
  std::optional<Configuration> Tick();

  /// The version that waits; null if there is none.
  const Table& waiting() const { return waiting_; }
  /// Number of routes that wait for a new set.
  std::size_t pending() const { return pending_.size(); }

  /// Calls `visit` with each waiting route of waiting() and the time at which
  /// its new set is expected to be taken into use.
  template <typename Visit>
  void ForEachPending(Visit visit) const {
    for (const auto& [name, pending] : pending_)
      visit(*pending.newest, ExpectedChange());
  }

  /// Returns the changes since the last call, oldest first.
  std::vector<Change> TakeChanges();

 private:
  /// A route that waits.
  struct Pending {
    /// The route in waiting_.
    const Route* newest = nullptr;
    /// The set in use.
    std::vector<std::string> shards;
    /// When a version first named the new set.
    base::TimePoint named_at{};
  };
  using PendingByRoute = std::map<std::string, Pending>;

  /// Finds the routes of waiting_ that wait for another set than that of
  /// `in_force`. `former` holds the routes that waited until now.
  PendingByRoute PendingRoutes(const Configuration& in_force,
                               const PendingByRoute& former);
  /// The reason to put waiting_ in force now; unset if there is none.
  std::optional<Cause> CauseNow() const;
  bool IsReady(const Pending& pending) const;
  bool IsSetInUseGone(const Pending& pending) const;
  /// Returns until when a version may wait that arrives now.
  base::TimePoint LatestChange(base::TimePoint acknowledged_after) const;
  base::TimePoint ExpectedChange() const;
  /// Number of shards with a usable leaf in the regions of `route`; only
  /// leaves that are not cold count if `only_warm`.
  std::size_t CountServed(const std::vector<std::string>& shards,
                          const Route& route, bool only_warm) const;
  /// Ends the wait, and returns the version that has waited.
  Configuration TakeWaiting(Cause cause);

  const base::Clock& clock_;
  const LeafDirectory& directory_;
  std::chrono::milliseconds apply_time_;
  Table waiting_;
  PendingByRoute pending_;
  /// Until when the first of the versions that wait may wait.
  base::TimePoint deadline_{};
  std::vector<Change> changes_;
};

}  // namespace berylreach::forward
