// The tenant of a key, and the terms of the tenant and the route together.
#include "berylreach/forward/tenant_access.h"

#include <algorithm>

namespace berylreach::forward {
namespace {

/// Returns the regions that are in both lists, where an empty list stands for
/// all regions.
std::vector<std::string> CommonRegions(const std::vector<std::string>& a,
                                       const std::vector<std::string>& b) {
  if (a.empty()) return b;
  if (b.empty()) return a;
  std::vector<std::string> common;
  for (const std::string& region : a)
    if (std::find(b.begin(), b.end(), region) != b.end())
      common.push_back(region);
  return common;
}

}  // namespace

TenantAccess CheckAccess(const RouteTable& table, const Route& route,
                         const std::vector<std::string_view>& keys) {
  TenantAccess access{.priority = route.priority, .regions = route.regions};
  if (!table.has_tenants() || route.is_public) return access;
  if (keys.empty()) {
    access.refusal = AccessRefusal::kMissingKey;
    return access;
  }
  // A field that occurs several times stands for the list of its values, which
  // is no key.
  access.tenant =
      keys.size() == 1 ? table.FindTenantByKey(keys.front()) : nullptr;
  if (access.tenant == nullptr) {
    access.refusal = AccessRefusal::kUnknownKey;
    return access;
  }
  const Tenant& tenant = *access.tenant;
  access.priority = tenant.priority.value_or(route.priority);
  access.regions = CommonRegions(route.regions, tenant.regions);
  if (access.regions.empty() && !route.regions.empty())
    access.refusal = AccessRefusal::kNoRegion;
  return access;
}

TenantAccess AccessForHost(const RouteTable& table, const Route& route,
                           std::string_view name) {
  TenantAccess access{.tenant = table.FindTenant(name),
                      .priority = route.priority,
                      .regions = route.regions};
  if (access.tenant != nullptr)
    access.priority = access.tenant->priority.value_or(route.priority);
  return access;
}

}  // namespace berylreach::forward
