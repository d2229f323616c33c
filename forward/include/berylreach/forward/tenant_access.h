// Decides whether a caller's request may run, by the key that it carries.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "berylreach/forward/configuration.h"
#include "berylreach/forward/route_table.h"

namespace berylreach::forward {

/// Why a request may not run.
enum class AccessRefusal {
  kNone,
  kMissingKey,
  /// No tenant has the key, or the request carries several.
  kUnknownKey,
  /// No region is allowed both to the tenant and to the route.
  kNoRegion,
};

/// Whether and on which terms a request may run.
struct TenantAccess {
  AccessRefusal refusal = AccessRefusal::kNone;
  /// The tenant of the request, in the route table that was asked; null if the
  /// request belongs to none.
  const Tenant* tenant = nullptr;
  /// Priority of the request; 0 is the most urgent.
  std::uint32_t priority = 0;
  /// Regions whose leaves may serve the request; empty for all. A request with
  /// regions is not divided into groups for other hosts.
  std::vector<std::string> regions;
};

/// Decides on a request on `route`, which must belong to `table`. `keys` holds
/// the keys that the request carries.
TenantAccess CheckAccess(const RouteTable& table, const Route& route,
                         const std::vector<std::string_view>& keys);

/// Returns the terms of a request that another host, which has checked the key,
/// passes on for the tenant `name`. The tenant is null if `table`, which may be
/// of another version than that of the other host, does not have it.
TenantAccess AccessForHost(const RouteTable& table, const Route& route,
                           std::string_view name);

}  // namespace berylreach::forward
