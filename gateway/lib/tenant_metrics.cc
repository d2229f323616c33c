// Counts by tenant and reports the largest tenants.
#include "berylreach/gateway/tenant_metrics.h"

#include <algorithm>
#include <string_view>
#include <utility>
#include <vector>

#include "label.h"

namespace berylreach::gateway {
namespace {

/// Number of tenants that are reported by name.
constexpr std::size_t kNamedTenants = 10;
/// Label under which the others are reported together.
constexpr char kOthers[] = "others";

constexpr std::array<std::string_view, kTenantRefusals> kCauses = {
    "regions", "quota", "quota_unknown", "full", "blocked", "unavailable"};

}  // namespace

void TenantMetrics::Counts::Add(const Counts& other) {
  requests += other.requests;
  for (std::size_t i = 0; i < refused.size(); ++i)
    refused[i] += other.refused[i];
}

void TenantMetrics::OnRequest(const std::string& tenant) {
  ++tenants_[tenant].requests;
}

void TenantMetrics::OnRefused(const std::string& tenant,
                              TenantRefusal refusal) {
  if (tenant.empty()) return;
  ++tenants_[tenant].refused[static_cast<std::size_t>(refusal)];
}

void TenantMetrics::OnKeyRefused(forward::AccessRefusal refusal) {
  ++(refusal == forward::AccessRefusal::kMissingKey ? missing_keys_
                                                    : unknown_keys_);
}

void TenantMetrics::KeepTenantsOf(const forward::RouteTable& table) {
  std::erase_if(tenants_, [this, &table](const auto& entry) {
    if (table.FindTenant(entry.first) != nullptr) return false;
    former_.Add(entry.second);
    return true;
  });
}

void TenantMetrics::AppendCounts(std::string& text, const std::string& label,
                                 const Counts& counts) {
  const std::string tenant = "{tenant=\"" + EscapeLabel(label) + "\"";
  text += "berylreach_tenant_requests_total" + tenant + "} " +
          std::to_string(counts.requests) + "\n";
  for (std::size_t i = 0; i < counts.refused.size(); ++i) {
    if (counts.refused[i] == 0) continue;
    text += "berylreach_tenant_refused_total" + tenant + ",cause=\"";
    text += kCauses[i];
    text += "\"} " + std::to_string(counts.refused[i]) + "\n";
  }
}

void TenantMetrics::AppendTo(std::string& text) const {
  if (missing_keys_ + unknown_keys_ > 0) {
    text += "berylreach_key_refused_total{cause=\"missing\"} " +
            std::to_string(missing_keys_) + "\n";
    text += "berylreach_key_refused_total{cause=\"unknown\"} " +
            std::to_string(unknown_keys_) + "\n";
  }
  if (tenants_.empty() && former_.requests == 0) return;
  std::vector<const std::pair<const std::string, Counts>*> largest;
  largest.reserve(tenants_.size());
  for (const auto& entry : tenants_) largest.push_back(&entry);
  const std::size_t named = std::min(kNamedTenants, largest.size());
  std::partial_sort(largest.begin(),
                    largest.begin() + static_cast<std::ptrdiff_t>(named),
                    largest.end(), [](const auto* a, const auto* b) {
                      if (a->second.requests != b->second.requests)
                        return a->second.requests > b->second.requests;
                      return a->first < b->first;
                    });
  Counts others = former_;
  for (std::size_t i = 0; i < largest.size(); ++i) {
    if (i < named) {
      AppendCounts(text, largest[i]->first, largest[i]->second);
    } else {
      others.Add(largest[i]->second);
    }
  }
  AppendCounts(text, kOthers, others);
}

}  // namespace berylreach::gateway
