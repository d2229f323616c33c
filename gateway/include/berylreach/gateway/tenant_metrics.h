// Counts callers' requests and refusals by tenant.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

#include "berylreach/forward/route_table.h"
#include "berylreach/forward/tenant_access.h"

namespace berylreach::gateway {

/// Why a tenant's request was refused without being run.
enum class TenantRefusal {
  /// No region is allowed to both the tenant and the route.
  kRegions,
  /// The tenant's quota is exhausted.
  kQuota,
  /// The quota could not be checked.
  kQuotaUnknown,
  /// The host or the tenant's share of it is full.
  kFull,
  /// The request is suspected of crashing leaves.
  kBlocked,
  /// No leaf could take the request.
  kUnavailable,
};
inline constexpr std::size_t kTenantRefusals = 6;

/// Counts since the start of the process. Only the tenants of the configuration
/// in force are kept, and only the largest ones are reported by name, so that
/// the number of labels is bounded. Not thread-safe.
class TenantMetrics {
 public:
  /// A caller's request was found to belong to the tenant.
  void OnRequest(const std::string& tenant);
  /// A request of the tenant was refused; does nothing for a request that
  /// belongs to no tenant.
  void OnRefused(const std::string& tenant, TenantRefusal refusal);
  /// A request was refused for its key.
  void OnKeyRefused(forward::AccessRefusal refusal);

  /// Counts the tenants that `table` does not have as others from now on.
  void KeepTenantsOf(const forward::RouteTable& table);

  /// Appends the metrics in the Prometheus text exposition format; nothing
  /// before the first request of a tenant or with a wrong key.
  void AppendTo(std::string& text) const;

 private:
  struct Counts {
    std::uint64_t requests = 0;
    std::array<std::uint64_t, kTenantRefusals> refused{};

    void Add(const Counts& other);
  };

  static void AppendCounts(std::string& text, const std::string& label,
                           const Counts& counts);

  std::unordered_map<std::string, Counts> tenants_;
  /// Counts of tenants that are no longer kept.
  Counts former_;
  std::uint64_t missing_keys_ = 0;
  std::uint64_t unknown_keys_ = 0;
};

}  // namespace berylreach::gateway
