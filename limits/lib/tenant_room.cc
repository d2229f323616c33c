// Max-min fair shares from what tenants have held recently.
#include "berylreach/limits/tenant_room.h"

#include <algorithm>
#include <chrono>
#include <limits>

namespace berylreach::limits {
namespace {

/// Time for which a tenant counts as active after a request, and as wanting
/// more than it gets after a refusal.
constexpr base::Duration kActiveTime = std::chrono::seconds(1);
/// Length of a period. Peaks of two periods are kept, so a demand counts for
/// one to two periods.
constexpr base::Duration kPeriod = kActiveTime / 2;

/// Part of the capacity that is left to tenants that were not active.
constexpr std::size_t kNewcomersDivisor = 8;

constexpr std::size_t kUnlimited = std::numeric_limits<std::size_t>::max();

void RaiseTo(TenantLoad& peak, const TenantLoad& held) {
  peak.requests = std::max(peak.requests, held.requests);
  peak.leaf_calls = std::max(peak.leaf_calls, held.leaf_calls);
}

}  // namespace

std::size_t MaxMinShare(std::size_t capacity,
                        std::vector<std::size_t> demands) {
  // Each pass serves the demands that are below an equal part of what remains,
  // which raises the part of the others.
  for (;;) {
    const std::size_t part = capacity / (demands.size() + 1);
    const auto served =
        std::partition(demands.begin(), demands.end(),
                       [part](std::size_t demand) { return demand > part; });
    if (served == demands.end()) return part;
    for (auto demand = served; demand != demands.end(); ++demand)
      capacity -= *demand;
    demands.erase(served, demands.end());
  }
}

void TenantRoom::Advance() {
  const base::TimePoint now = clock_.Now();
  if (now - period_began_ < kPeriod) return;
  const bool skipped = now - period_began_ >= 2 * kPeriod;
  period_began_ = now;
  std::erase_if(tenants_, [this](const auto& entry) {
    const Holding& holding = entry.second;
    return holding.held.requests == 0 && !IsRecent(holding.active_at);
  });
  for (auto& [name, holding] : tenants_) {
    holding.previous_peak = skipped ? holding.held : holding.peak;
    holding.peak = holding.held;
  }
}

bool TenantRoom::IsRecent(base::TimePoint at) const {
  return clock_.Now() - at < kActiveTime;
}

TenantRoom::Holding& TenantRoom::HoldingOf(std::string_view tenant) {
  const auto found = tenants_.find(tenant);
  if (found != tenants_.end()) return found->second;
  return tenants_.emplace(tenant, Holding{}).first->second;
}

void TenantRoom::OnRequest(std::string_view tenant, std::uint32_t priority) {
  Advance();
  Holding& holding = HoldingOf(tenant);
  holding.active_at = clock_.Now();
  holding.priority = priority;
}

std::uint32_t TenantRoom::LeastUrgentPriority() const {
  std::uint32_t priority = 0;
  for (const auto& [name, holding] : tenants_)
    priority = std::max(priority, holding.priority);
  return priority;
}

std::size_t TenantRoom::ExcessOf(const Holding& holding,
                                 const TenantLoad& wanted,
                                 const TenantLoad& used,
                                 const TenantLoad& capacity,
                                 std::size_t TenantLoad::*resource) const {
  const std::size_t bound = capacity.*resource;
  if (used.*resource + wanted.*resource <= bound / 2) return 0;
  const std::size_t room = bound - bound / kNewcomersDivisor;
  const std::size_t claim = holding.held.*resource + wanted.*resource;
  if (claim <= room / tenants_.size()) return 0;
  std::vector<std::size_t> demands;
  demands.reserve(tenants_.size());
  for (const auto& [name, other] : tenants_) {
    if (&other == &holding) continue;
    const bool wants_more = other.refused_at && IsRecent(*other.refused_at);
    demands.push_back(wants_more ? kUnlimited
                                 : std::max(other.peak.*resource,
                                            other.previous_peak.*resource));
  }
  const std::size_t share = MaxMinShare(room, std::move(demands));
  return claim > share ? claim - share : 0;
}

std::size_t TenantRoom::Excess(std::string_view tenant,
                               const TenantLoad& wanted, const TenantLoad& used,
                               const TenantLoad& capacity) {
  const Holding& holding = HoldingOf(tenant);
  if (holding.held.requests == 0) return 0;
  const std::size_t requests =
      ExcessOf(holding, wanted, used, capacity, &TenantLoad::requests);
  const std::size_t calls =
      ExcessOf(holding, wanted, used, capacity, &TenantLoad::leaf_calls);
  // Converts the excess of calls to requests of the tenant's mean size.
  const std::size_t calls_per_request =
      std::max<std::size_t>(1, holding.held.leaf_calls / holding.held.requests);
  const std::size_t of_calls =
      (calls + calls_per_request - 1) / calls_per_request;
  const std::size_t own = std::max(requests, of_calls);
  // The tenant's room grows by the completions of its own requests only, so it
  // takes that many more completions of all.
  return own * std::max(used.requests, holding.held.requests) /
         holding.held.requests;
}

void TenantRoom::OnAdmitted(std::string_view tenant, std::size_t leaf_calls) {
  Holding& holding = HoldingOf(tenant);
  ++holding.held.requests;
  holding.held.leaf_calls += leaf_calls;
  RaiseTo(holding.peak, holding.held);
}

void TenantRoom::OnRefused(std::string_view tenant) {
  HoldingOf(tenant).refused_at = clock_.Now();
}

void TenantRoom::OnDone(std::string_view tenant, std::size_t leaf_calls) {
  TenantLoad& held = HoldingOf(tenant).held;
  held.requests -= std::min<std::size_t>(held.requests, 1);
  held.leaf_calls -= std::min(held.leaf_calls, leaf_calls);
}

}  // namespace berylreach::limits
