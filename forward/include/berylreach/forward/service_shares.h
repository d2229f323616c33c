// What one host may use of the limits that all hosts share.
#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

#include "berylreach/base/clock.h"

namespace berylreach::forward {

/// Hosts that call the leaves of a service whose requests are divided.
struct CallingHosts {
  /// Hosts in whose slices the service is, in all regions; at least 1.
  std::size_t owners = 1;
  /// This host is one of them.
  bool owned_here = false;

  friend bool operator==(const CallingHosts&, const CallingHosts&) = default;
};

/// Parts of a limit, 0 to 1, that the hosts of each role divide equally.
struct ShareParts {
  double owners = 0;
  double coordinators = 0;
  /// Coordinators of a set that is not settled.
  double new_coordinators = 0;
  double hosts = 0;

  friend bool operator==(const ShareParts&, const ShareParts&) = default;
};

/// Divides the extra calls and the connections of a service among hosts by who
/// calls its leaves: the hosts in whose slices it is, then the coordinators,
/// which run groups of it for other regions and stand in for each other, then
/// all hosts, which may have to run a request whole. Hosts may disagree about
/// who coordinates for a while, so a new set of coordinators gets its full
/// parts only when what the former one used has left all windows. Not
/// thread-safe.
class ServiceShares {
 public:
  /// Time in which hosts learn of a change of the coordinators, and what the
  /// former ones used leaves the windows of the limits.
  static constexpr std::chrono::milliseconds kSettleTime{12000};

  explicit ServiceShares(const base::Clock& clock) : clock_(clock) {}

  /// All hosts, of which there is at least one.
  void SetHosts(std::size_t hosts);
  /// The coordinators of all regions, `self` perhaps among them.
  void SetCoordinators(const std::string& self, std::vector<std::string> names);
  /// Services whose requests are divided; others keep what they have.
  void SetCallingHosts(
      const std::unordered_map<std::string, CallingHosts>& calling_hosts);
  /// Forgets all services.
  void ClearCallingHosts() { calling_hosts_.clear(); }

  std::size_t hosts() const { return hosts_; }
  /// Part of a limit of `service` that this host may use, 0 to 1. `parts`
  /// divides the limit where requests are divided; other services are shared
  /// equally.
  double ShareOf(const std::string& service, const ShareParts& parts) const;

 private:
  bool IsSettled() const;

  const base::Clock& clock_;
  std::size_t hosts_ = 1;
  std::vector<std::string> coordinators_;
  bool coordinates_ = false;
  /// When the coordinators changed last; nothing was used before the first.
  base::TimePoint changed_at_{};
  std::unordered_map<std::string, CallingHosts> calling_hosts_;
};

}  // namespace berylreach::forward
