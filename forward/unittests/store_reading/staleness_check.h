// Checks how old what a host in touch knows and follows may be.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "store_simulation.h"

namespace berylreach::forward {

/// Runs a simulation and checks all the while that no host misses a change for
/// longer than `bound`, and that none has an older version in force later than
/// `apply_time` after the store acknowledged a version. A host counts only
/// while nothing has disturbed it for `contact`: neither a failure of the
/// store, be it for some hosts only, nor a start, a freeze or a cut of its own.
/// Disturbances of other hosts excuse nothing.
class StalenessCheck {
 public:
  StalenessCheck(StoreSimulation& simulation, milliseconds contact,
                 milliseconds bound, milliseconds apply_time = kNoLimit)
      : simulation_(simulation),
        contact_(contact),
        bound_(bound),
        apply_time_(apply_time) {}

  void RunFor(milliseconds duration) {
    constexpr milliseconds step{10};
    for (milliseconds passed{0}; passed < duration; passed += step) {
      simulation_.time.RunFor(step);
      if (simulation_.store.IsDisturbed()) OnStoreDisturbed();
      RecordVersion();
      for (const auto& host : simulation_.hosts) Check(*host);
    }
  }

  /// Records that the store has been disturbed until now, which the check
  /// notices by itself only if it lasts.
  void OnStoreDisturbed() { store_disturbed_at_ = simulation_.time.Now(); }

  /// Describes the first violation.
  const std::optional<std::string>& violation() const { return violation_; }

 private:
  void Check(SimulatedHost& host) {
    const base::TimePoint now = simulation_.time.Now();
    const SimulatedStore& store = simulation_.store;
    base::TimePoint& disturbed_at = disturbed_at_[host.entry().name];
    if (!host.running() || host.frozen() || store.IsCutOff(host.entry().name))
      disturbed_at = now;
    const base::TimePoint last = std::max(disturbed_at, store_disturbed_at_);
    const SimulatedHost::LateClaims late = host.TakeLateClaims();
    if (now >= store_disturbed_at_ + contact_)
      CheckClaims(host, late, now >= last + contact_);
    CheckCurrency(host, now >= last + contact_);
    if (violation_ || now < last + contact_) return;
    CheckVersion(host);
    const auto missed = store.ChangedAfter(host.position());
    if (!missed || now <= *missed + bound_) return;
    violation_ = host.entry().name + " misses a change of " +
                 std::to_string(Milliseconds(now - *missed)) + " ms ago, " +
                 std::to_string(Milliseconds(now - last)) +
                 " ms after the last disturbance";
  }

  /// Notes since when the store has its present version. Versions that it has
  /// lost by a return from a copy bind nobody.
  void RecordVersion() {
    const auto& items = simulation_.store.items();
    const auto record = items.find(SimulatedVersions::kKey);
    const std::uint64_t version =
        record == items.end() ? 0 : std::stoull(record->second);
    versions_.erase(versions_.upper_bound(version), versions_.end());
    versions_.try_emplace(version, simulation_.time.Now());
  }

  void CheckVersion(const SimulatedHost& host) {
    const std::uint64_t in_force = host.versions().in_force();
    const auto next = versions_.upper_bound(in_force);
    if (next == versions_.end()) return;
    const base::Duration late = simulation_.time.Now() - next->second;
    if (late <= apply_time_) return;
    violation_ = host.entry().name + " has version " +
                 std::to_string(in_force) + " in force " +
                 std::to_string(Milliseconds(late)) +
                 " ms after the acknowledgement of the next one";
  }

  /// Checks that a host does not take a change for younger than it is. What it
  /// tells its followers must be true also if it is disturbed itself, but for
  /// the time in which it may not notice that its watch was lost.
  void CheckClaims(const SimulatedHost& host,
                   const SimulatedHost::LateClaims& late, bool in_touch) {
    if (violation_) return;
    const base::Duration latest =
        in_touch ? std::max(late.acknowledged, late.proven) : late.proven;
    if (latest > AllowedError(in_touch))
      violation_ = host.entry().name + " takes a change for " +
                   std::to_string(Milliseconds(latest)) +
                   " ms younger than it is";
  }

  static milliseconds AllowedError(bool in_touch) {
    return in_touch ? milliseconds(0) : kLostWatchTime;
  }

  /// Checks that a host does not take its view for more current than it is, but
  /// for the time in which it may not notice that its watch was lost in a
  /// disturbance.
  void CheckCurrency(const SimulatedHost& host, bool in_touch) {
    if (violation_ || !host.running()) return;
    const auto missed = simulation_.store.ChangedAfter(host.position());
    const base::TimePoint until = host.currency().until;
    if (!missed || until <= *missed + AllowedError(in_touch)) return;
    violation_ = host.entry().name + " takes its view for current until " +
                 std::to_string(Milliseconds(until - *missed)) +
                 " ms after a change that it misses";
  }

  static std::int64_t Milliseconds(base::Duration duration) {
    return std::chrono::duration_cast<milliseconds>(duration).count();
  }

  /// Time within which a host notices that its watch was lost.
  static constexpr milliseconds kLostWatchTime{2000};
  static constexpr milliseconds kNoLimit = std::chrono::hours(1);

  StoreSimulation& simulation_;
  const milliseconds contact_;
  const milliseconds bound_;
  const milliseconds apply_time_;
  /// When the store acknowledged each version.
  std::map<std::uint64_t, base::TimePoint> versions_;
  base::TimePoint store_disturbed_at_{};
  /// The last disturbance of each host, by name.
  std::map<std::string, base::TimePoint> disturbed_at_;
  std::optional<std::string> violation_;
};

}  // namespace berylreach::forward
