// Lookup of the route of a request.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "berylreach/forward/configuration.h"

namespace berylreach::forward {

/// Indexes one configuration by host name and path prefix. Immutable, so that a
/// running request keeps the configuration that it started with.
class RouteTable {
 public:
  explicit RouteTable(Configuration configuration);

  // tenant_by_name_ refers to strings in configuration_.
  RouteTable(const RouteTable&) = delete;
  RouteTable& operator=(const RouteTable&) = delete;

  /// Returns the route of `host` with the longest prefix of `path`; null if
  /// there is none. `host` is compared without regard to case or port.
  const Route* Find(std::string_view host, std::string_view path) const;

  /// Returns null if the configuration does not have the service.
  const Service* FindService(const std::string& name) const;

  /// Whether callers need keys, except on public routes.
  bool has_tenants() const { return !configuration_.tenants.empty(); }

  /// Returns the tenant that `key` belongs to; null if there is none.
  const Tenant* FindTenantByKey(std::string_view key) const;

  /// Returns null if the configuration does not have the tenant.
  const Tenant* FindTenant(std::string_view name) const;

  const Configuration& configuration() const { return configuration_; }

 private:
  Configuration configuration_;
  /// Indexes in configuration_.routes by lower-case host, longest prefix first.
  std::unordered_map<std::string, std::vector<std::size_t>> by_host_;
  /// Indexes in configuration_.services by name.
  std::unordered_map<std::string, std::size_t> by_service_;
  /// Indexes in configuration_.tenants by key and by name.
  std::unordered_map<ApiKey, std::size_t, ApiKeyHash> tenant_by_key_;
  std::unordered_map<std::string_view, std::size_t> tenant_by_name_;
};

}  // namespace berylreach::forward
