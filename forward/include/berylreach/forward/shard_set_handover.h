// Decides when the requests of a route go to a new set of shards.
#pragma once

#include <chrono>
#include <cstddef>
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

/// Keeps a route on the shards that it used before, when a new version of the
/// configuration names other ones, until the new set is ready to take the
/// route's requests. The leaves of a new set have often just started, and cold
/// leaves accept few calls. Everything else of the new version is in force at
/// once.
///
/// The set in use is replaced by the newest one when the first of these holds:
/// - enough shards of the newest set have a usable leaf that is not cold, and
///   kMinPreparation has passed since its version arrived;
/// - the set in use can no longer reach the route's minimum coverage;
/// - kMaxWaitShare of the time within which versions must be applied has passed
///   since a version first named the newest set, or kMaxUseShare since a
///   version first named another set than the one in use.
/// The change of a route is final: no set is used again because of anything but
/// a version that names it. Not thread-safe.
class ShardSetHandover {
 public:
  using Table = std::shared_ptr<const RouteTable>;

  /// Time within which hosts normally all learn of a version, and which this
  /// host needs to open connections even if the new set is ready. A host that
  /// used the new set earlier would ask hosts to run groups of shards that they
  /// do not know.
  static constexpr std::chrono::milliseconds kMinPreparation{500};
  static constexpr double kMaxWaitShare = 0.65;
  static constexpr double kMaxUseShare = 0.85;

  /// Why the newest set was taken into use.
  enum class Cause { kReady, kTime, kOldSetGone };

  /// A route that began to wait for a new set, or that has taken one into use.
  struct Change {
    std::string route;
    /// Unset if the route waits.
    std::optional<Cause> cause;
    base::Duration waited{0};

    friend bool operator==(const Change&, const Change&) = default;
  };

  /// `apply_time` is the time within which a version must be applied. The
  /// arguments must outlive the handover.
  ShardSetHandover(const base::Clock& clock, const LeafDirectory& directory,
                   std::chrono::milliseconds apply_time);

  /// Returns the configuration to put in force for `newest`, a newer version
  /// than any before: `newest` with the shards of `in_force` for the routes
  /// that wait. Without `in_force` no route waits.
  Configuration OnConfiguration(Configuration newest,
                                const Configuration* in_force);

  /// Returns the configuration to put in force, of the same version as before,
  /// if a route takes its newest set into use now.
  std::optional<Configuration> Tick();

  /// The newest version with its own shards; null if no route waits.
  const Table& newest() const { return newest_; }
  /// Number of routes that wait.
  std::size_t pending() const { return pending_.size(); }

  /// Calls `visit` with each waiting route of newest() and the time at which it
  /// is expected to take its new set into use.
  template <typename Visit>
  void ForEachPending(Visit visit) const {
    for (const auto& [name, pending] : pending_)
      visit(*pending.newest, ExpectedChange(pending));
  }

  /// Returns the changes since the last call, oldest first.
  std::vector<Change> TakeChanges();

 private:
  /// A route that waits.
  struct Pending {
    /// The route in newest_.
    const Route* newest = nullptr;
    /// The set in use, and the services of its shards.
    std::vector<std::string> shards;
    std::vector<Service> services;
    /// When a version first named the newest set.
    base::TimePoint named_at{};
    /// When a version first named another set than the one in use.
    base::TimePoint superseded_at{};
  };
  using PendingByRoute = std::map<std::string, Pending>;

  /// Returns the state of a route of newest_ whose set in use is that of
  /// `used`, a route of `in_force`. `former` holds the routes that waited until
  /// now, and `former_newest` the version that they waited for.
  Pending MakePending(const Route& newest, const Route& used,
                      const Configuration& in_force,
                      const PendingByRoute& former) const;
  /// Takes the newest set into use for each route for which it is due. Returns
  /// whether there was one.
  bool ApplyDueChanges();
  /// The reason to take the newest set into use now; unset if there is none.
  std::optional<Cause> CauseNow(const Pending& pending) const;
  base::TimePoint Deadline(const Pending& pending) const;
  base::TimePoint ExpectedChange(const Pending& pending) const;
  /// Number of shards with a usable leaf in the regions of `route`; only
  /// leaves that are not cold count if `only_warm`.
  std::size_t CountServed(const std::vector<std::string>& shards,
                          const Route& route, bool only_warm) const;
  /// Number of shards of the newest set that must have a leaf that is not cold.
  static std::size_t MinReady(const Route& newest);
  /// Returns newest_ with the shards in use, and drops newest_ if no route
  /// waits.
  Configuration TakeComposed();

  const base::Clock& clock_;
  const LeafDirectory& directory_;
  std::chrono::milliseconds apply_time_;
  Table newest_;
  PendingByRoute pending_;
  std::vector<Change> changes_;
};

}  // namespace berylreach::forward
