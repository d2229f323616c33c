// Checks how old the view of a host in touch may be.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "store_simulation.h"

namespace berylreach::forward {

/// Runs a simulation and checks all the while that no host misses a change for
/// longer than `bound`. A host counts only while nothing has disturbed it for
/// `contact`: neither a failure of the store, be it for some hosts only, nor a
/// start, a freeze or a cut of its own. Disturbances of other hosts excuse
/// nothing.
class StalenessCheck {
 public:
  StalenessCheck(StoreSimulation& simulation, milliseconds contact,
                 milliseconds bound)
      : simulation_(simulation), contact_(contact), bound_(bound) {}

  void RunFor(milliseconds duration) {
    constexpr milliseconds step{10};
    for (milliseconds passed{0}; passed < duration; passed += step) {
      simulation_.time.RunFor(step);
      if (simulation_.store.IsDisturbed()) OnStoreDisturbed();
      for (const auto& host : simulation_.hosts) Check(*host);
    }
  }

  /// Records that the store has been disturbed until now, which the check
  /// notices by itself only if it lasts.
  void OnStoreDisturbed() { store_disturbed_at_ = simulation_.time.Now(); }

  /// Describes the first violation.
  const std::optional<std::string>& violation() const { return violation_; }

 private:
  void Check(const SimulatedHost& host) {
    const base::TimePoint now = simulation_.time.Now();
    const SimulatedStore& store = simulation_.store;
    base::TimePoint& disturbed_at = disturbed_at_[host.entry().name];
    if (!host.running() || host.frozen() || store.IsCutOff(host.entry().name))
      disturbed_at = now;
    const base::TimePoint last = std::max(disturbed_at, store_disturbed_at_);
    CheckCurrency(host, now >= last + contact_);
    if (violation_ || now < last + contact_) return;
    const auto missed = store.ChangedAfter(host.position());
    if (!missed || now <= *missed + bound_) return;
    violation_ = host.entry().name + " misses a change of " +
                 std::to_string(Milliseconds(now - *missed)) + " ms ago, " +
                 std::to_string(Milliseconds(now - last)) +
                 " ms after the last disturbance";
  }

  /// Checks that a host does not take its view for more current than it is,
  /// but for the time in which it may not notice that its watch was lost in a
  /// disturbance.
  void CheckCurrency(const SimulatedHost& host, bool in_touch) {
    if (violation_ || !host.running()) return;
    const auto missed = simulation_.store.ChangedAfter(host.position());
    const base::TimePoint until = host.currency().until;
    if (!missed ||
        until <= *missed + (in_touch ? milliseconds(0) : kLostWatchTime))
      return;
    violation_ = host.entry().name + " takes its view for current until " +
                 std::to_string(Milliseconds(until - *missed)) +
                 " ms after a change that it misses";
  }

  static std::int64_t Milliseconds(base::Duration duration) {
    return std::chrono::duration_cast<milliseconds>(duration).count();
  }

  /// Time within which a host notices that its watch was lost.
  static constexpr milliseconds kLostWatchTime{2000};

  StoreSimulation& simulation_;
  const milliseconds contact_;
  const milliseconds bound_;
  base::TimePoint store_disturbed_at_{};
  /// The last disturbance of each host, by name.
  std::map<std::string, base::TimePoint> disturbed_at_;
  std::optional<std::string> violation_;
};

}  // namespace berylreach::forward
