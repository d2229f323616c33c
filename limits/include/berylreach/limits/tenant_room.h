// How much of an overloaded host's capacity each tenant may hold.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "berylreach/base/clock.h"

namespace berylreach::limits {

/// Returns the largest amount that a tenant of unlimited demand gets if
/// `capacity` is divided max-min fairly between it and the tenants with
/// `demands`: nobody gets more than its demand, and what some leave goes to the
/// others in equal parts.
std::size_t MaxMinShare(std::size_t capacity, std::vector<std::size_t> demands);

/// Requests and leaf calls of one tenant, or a bound on them.
struct TenantLoad {
  std::size_t requests = 0;
  std::size_t leaf_calls = 0;

  friend bool operator==(const TenantLoad&, const TenantLoad&) = default;
};

/// Divides the capacity of one host among tenants, unweighted. While more than
/// half of it is in use, a tenant may hold at most its max-min fair share. The
/// demand of another tenant is what it held at most within the last second, or
/// unlimited if it was refused in that time. Part of the capacity is left to
/// tenants that send after a pause: a host of a large deployment sees most
/// tenants less than once a second. A tenant that holds nothing is never
/// limited. Not thread-safe.
class TenantRoom {
 public:
  explicit TenantRoom(const base::Clock& clock) : clock_(clock) {}

  /// Records that the tenant sends a request of this priority.
  void OnRequest(std::string_view tenant, std::uint32_t priority);
  /// The least urgent priority of the tenants that were active within the last
  /// second.
  std::uint32_t LeastUrgentPriority() const;
  /// Returns by how many requests the tenant would exceed its share if it held
  /// `wanted` in addition, where `used` of `capacity` is in use by all tenants;
  /// 0 if it would not. Call after OnRequest.
  std::size_t Excess(std::string_view tenant, const TenantLoad& wanted,
                     const TenantLoad& used, const TenantLoad& capacity);

  void OnAdmitted(std::string_view tenant, std::size_t leaf_calls);
  void OnRefused(std::string_view tenant);
  /// An admitted request has ended.
  void OnDone(std::string_view tenant, std::size_t leaf_calls);

  /// Number of tenants that hold requests or were active recently.
  std::size_t size() const { return tenants_.size(); }

 private:
  struct Holding {
    TenantLoad held;
    /// The most held within the current period and within the one before.
    TenantLoad peak;
    TenantLoad previous_peak;
    std::uint32_t priority = 0;
    base::TimePoint active_at{};
    std::optional<base::TimePoint> refused_at;
  };
  struct NameHash {
    using is_transparent = void;
    std::size_t operator()(std::string_view name) const {
      return std::hash<std::string_view>()(name);
    }
  };

  /// Starts a new period if the present one is over: forgets older peaks and
  /// the tenants that are not active.
  void Advance();
  Holding& HoldingOf(std::string_view tenant);
  bool IsRecent(base::TimePoint at) const;
  /// Returns by how much `held` and `wanted` of one resource together exceed
  /// the tenant's share, where `resource` selects the resource of a load.
  std::size_t ExcessOf(const Holding& holding, const TenantLoad& wanted,
                       const TenantLoad& used, const TenantLoad& capacity,
                       std::size_t TenantLoad::*resource) const;

  const base::Clock& clock_;
  std::unordered_map<std::string, Holding, NameHash, std::equal_to<>> tenants_;
  base::TimePoint period_began_{};
};

}  // namespace berylreach::limits
