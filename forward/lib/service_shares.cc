// Computes the share of this host from its roles.
#include "berylreach/forward/service_shares.h"

#include <algorithm>
#include <utility>

namespace berylreach::forward {
namespace {

double Divide(double fraction, std::size_t among) {
  return fraction / static_cast<double>(std::max<std::size_t>(1, among));
}

}  // namespace

void ServiceShares::SetHosts(std::size_t hosts) {
  hosts_ = std::max<std::size_t>(1, hosts);
}

void ServiceShares::SetCoordinators(const std::string& self,
                                    std::vector<std::string> names) {
  std::sort(names.begin(), names.end());
  if (names == coordinators_) return;
  changed_at_ = clock_.Now();
  coordinates_ = std::binary_search(names.begin(), names.end(), self);
  coordinators_ = std::move(names);
}

void ServiceShares::SetCallingHosts(
    const std::unordered_map<std::string, CallingHosts>& calling_hosts) {
  for (const auto& [service, of_service] : calling_hosts)
    calling_hosts_[service] = of_service;
}

bool ServiceShares::IsSettled() const {
  return clock_.Now() - changed_at_ >= kSettleTime;
}

double ServiceShares::ShareOf(const std::string& service,
                              const RoleShares& role_shares) const {
  const auto found = calling_hosts_.find(service);
  if (found == calling_hosts_.end()) return Divide(1, hosts_);
  double share = Divide(role_shares.hosts, hosts_);
  const bool settled = IsSettled();
  if (coordinates_) {
    share += Divide(
        settled ? role_shares.coordinators : role_shares.new_coordinators,
        coordinators_.size());
  }
  if (settled && found->second.is_owner)
    share += Divide(role_shares.owners, found->second.owners);
  return share;
}

}  // namespace berylreach::forward
