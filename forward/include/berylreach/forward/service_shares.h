// Share of one host in the limits that apply to all hosts together.
#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

#include "berylreach/base/clock.h"

namespace berylreach::forward {

/// The hosts that call the leaves of a service whose requests are divided.
struct CallingHosts {
  /// Number of hosts whose slices contain the service, in all regions; at least
  /// 1.
  std::size_t owners = 1;
  /// Whether this host is one of the owners.
  bool owned_here = false;

  friend bool operator==(const CallingHosts&, const CallingHosts&) = default;
};

/// Fractions of a limit, 0 to 1; the hosts of each role divide theirs equally.
struct ShareParts {
  double owners = 0;
  double coordinators = 0;
  /// The coordinators of a set that has not settled yet.
  double new_coordinators = 0;
  double hosts = 0;

  friend bool operator==(const ShareParts&, const ShareParts&) = default;
};

/// Divides the extra calls and connections of a service among hosts, by role:
/// first the owners, the hosts whose slices contain it; then the coordinators,
/// which run groups of it for other regions and stand in for each other; then
/// all hosts, which may have to run a whole request. Hosts may disagree for a
/// while about who coordinates, so a new set of coordinators gets its full
/// shares only when the usage by the former set has left all limit windows. Not
/// thread-safe.
class ServiceShares {
 public:
  /// Time in which all hosts learn of a change of coordinators, and the usage
  /// by the former set leaves the windows of the limits.
  static constexpr std::chrono::milliseconds kSettleTime{12000};

  explicit ServiceShares(const base::Clock& clock) : clock_(clock) {}

  /// Sets the number of all hosts, at least one.
  void SetHosts(std::size_t hosts);
  /// Sets the coordinators of all regions, which may include `self`.
  void SetCoordinators(const std::string& self, std::vector<std::string> names);
  /// Sets the calling hosts of services whose requests are divided; other
  /// services keep theirs.
  void SetCallingHosts(
      const std::unordered_map<std::string, CallingHosts>& calling_hosts);
  /// Removes the calling hosts of all services.
  void ClearCallingHosts() { calling_hosts_.clear(); }

  std::size_t hosts() const { return hosts_; }
  /// Returns the fraction of a limit of `service` that this host may use, 0 to
  /// 1. `parts` applies to services whose requests are divided; the limits of
  /// others are shared equally among all hosts.
  double ShareOf(const std::string& service, const ShareParts& parts) const;

 private:
  /// Whether kSettleTime has passed since the last change of coordinators.
  bool IsSettled() const;

  const base::Clock& clock_;
  std::size_t hosts_ = 1;
  std::vector<std::string> coordinators_;
  bool coordinates_ = false;
  /// Time of the last change of coordinators. Before the first change nothing
  /// was used.
  base::TimePoint changed_at_{};
  std::unordered_map<std::string, CallingHosts> calling_hosts_;
};

}  // namespace berylreach::forward
