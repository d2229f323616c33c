// Indexes routes by host name and looks up the longest prefix.
#include "berylreach/forward/route_table.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace berylreach::forward {
namespace {

std::string HostKey(std::string_view host) {
  const std::size_t colon = host.rfind(':');
  if (colon != std::string_view::npos) host = host.substr(0, colon);
  std::string key(host);
  for (char& c : key)
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  return key;
}

}  // namespace

RouteTable::RouteTable(Configuration configuration)
    : configuration_(std::move(configuration)) {
  const std::vector<Route>& routes = configuration_.routes;
  for (std::size_t i = 0; i < routes.size(); ++i)
    by_host_[HostKey(routes[i].host)].push_back(i);
  for (std::size_t i = 0; i < configuration_.services.size(); ++i)
    by_service_.emplace(configuration_.services[i].name, i);
  const std::vector<Tenant>& tenants = configuration_.tenants;
  for (std::size_t i = 0; i < tenants.size(); ++i) {
    tenant_by_name_.emplace(tenants[i].name, i);
    for (const ApiKey& key : tenants[i].api_keys)
      tenant_by_key_.emplace(key, i);
  }
  for (auto& [host, positions] : by_host_) {
    std::stable_sort(positions.begin(), positions.end(),
                     [&routes](std::size_t a, std::size_t b) {
                       return routes[a].prefix.size() > routes[b].prefix.size();
                     });
  }
}

const Route* RouteTable::Find(std::string_view host,
                              std::string_view path) const {
  const auto found = by_host_.find(HostKey(host));
  if (found == by_host_.end()) return nullptr;
  for (const std::size_t position : found->second) {
    const Route& route = configuration_.routes[position];
    if (path.starts_with(route.prefix)) return &route;
  }
  return nullptr;
}

const Service* RouteTable::FindService(const std::string& name) const {
  const auto found = by_service_.find(name);
  return found == by_service_.end() ? nullptr
                                    : &configuration_.services[found->second];
}

const Tenant* RouteTable::FindTenantByKey(std::string_view key) const {
  const auto found = tenant_by_key_.find(ApiKey::Of(key));
  return found == tenant_by_key_.end() ? nullptr
                                       : &configuration_.tenants[found->second];
}

const Tenant* RouteTable::FindTenant(std::string_view name) const {
  const auto found = tenant_by_name_.find(name);
  return found == tenant_by_name_.end()
             ? nullptr
             : &configuration_.tenants[found->second];
}

}  // namespace berylreach::forward
