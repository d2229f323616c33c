// Sums counts of answers by route, leaf and zone.
#include "berylreach/forward/version_totals.h"

namespace berylreach::forward {

void VersionTotals::Add(const VersionCountsRow& row) {
  if (row.leaf.empty()) {
    others_[{row.route, row.zone}] += row.counts;
    return;
  }
  TargetCounts& counts = target_[{row.route, row.leaf}];
  counts.zone = row.zone;
  counts.counts += row.counts;
}

VersionCounts VersionTotals::TargetSum() const {
  VersionCounts sum;
  for (const auto& [key, target] : target_) sum += target.counts;
  return sum;
}

VersionCounts VersionTotals::OthersSum() const {
  VersionCounts sum;
  for (const auto& [key, counts] : others_) sum += counts;
  return sum;
}

VersionCounts VersionTotals::OthersOnRoute(const std::string& route) const {
  VersionCounts sum;
  for (auto at = others_.lower_bound({route, ""});
       at != others_.end() && at->first.first == route; ++at)
    sum += at->second;
  return sum;
}

VersionCounts VersionTotals::OthersIn(const std::string& route,
                                      const std::string& zone) const {
  const auto found = others_.find({route, zone});
  return found == others_.end() ? VersionCounts{} : found->second;
}

VersionCounts VersionTotals::TargetAt(const std::string& route,
                                      const std::string& leaf) const {
  const auto found = target_.find({route, leaf});
  return found == target_.end() ? VersionCounts{} : found->second.counts;
}

std::vector<VersionCountsRow> VersionTotals::Rows() const {
  std::vector<VersionCountsRow> rows;
  rows.reserve(target_.size() + others_.size());
  for (const auto& [key, target] : target_)
    rows.push_back({key.first, target.zone, key.second, target.counts});
  for (const auto& [key, counts] : others_)
    rows.push_back({key.first, key.second, "", counts});
  return rows;
}

}  // namespace berylreach::forward
