// Shares of one host in limits that apply to all hosts together.
#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

#include "berylreach/base/clock.h"

namespace berylreach::forward {

/// The hosts that call the leaves of a service whose requests are divided among
/// hosts.
struct CallingHosts {
  /// Number of hosts whose slices contain the service, in all regions; 0 if no
  /// region has both a usable leaf of the service and a coordinator.
  std::size_t owners = 1;
  /// Whether this host is one of the owners.
  bool is_owner = false;

  friend bool operator==(const CallingHosts&, const CallingHosts&) = default;
};

/// Fractions of a limit, 0 to 1, by role of hosts; the hosts of a role divide
/// its fraction equally.
struct RoleShares {
  double owners = 0;
  double coordinators = 0;
  /// Applies instead of `coordinators` until kSettleTime has passed since the
  /// set of coordinators changed.
  double new_coordinators = 0;
  double hosts = 0;

  friend bool operator==(const RoleShares&, const RoleShares&) = default;
};

/// Divides the extra calls and connections of a service among hosts, by role:
/// the owners are the hosts whose slices contain the service; the coordinators
/// run groups for other regions and take over slices of each other; and any
/// host may have to run a whole request itself. Hosts may disagree for a while
/// about which hosts are coordinators, so a new set of coordinators gets its
/// full shares only when the usage by the former set has left all limit
/// windows. Not thread-safe.
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
  /// Sets the calling hosts of services whose requests are divided; the calling
  /// hosts of services that are not in the map stay.
  void SetCallingHosts(
      const std::unordered_map<std::string, CallingHosts>& calling_hosts);
  /// Removes the calling hosts of all services.
  void ClearCallingHosts() { calling_hosts_.clear(); }

  std::size_t hosts() const { return hosts_; }
  /// Whether the requests of `service` are divided among hosts.
  bool IsDivided(const std::string& service) const {
    return calling_hosts_.contains(service);
  }
  /// Returns the fraction of a limit of `service` that this host may use, 0 to
  /// 1. `role_shares` applies to services whose requests are divided; the
  /// limits of other services are shared equally among all hosts.
  double ShareOf(const std::string& service,
                 const RoleShares& role_shares) const;

 private:
  /// Whether kSettleTime has passed since the last change of coordinators.
  bool IsSettled() const;

  const base::Clock& clock_;
  std::size_t hosts_ = 1;
  std::vector<std::string> coordinators_;
  bool coordinates_ = false;
  /// Time of the last change of coordinators. The default counts as settled:
  /// before the first change, no coordinator has used a share.
  base::TimePoint changed_at_{};
  std::unordered_map<std::string, CallingHosts> calling_hosts_;
};

}  // namespace berylreach::forward
