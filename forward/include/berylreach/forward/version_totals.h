// Sums of the counts that hosts report about a version shift.
#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "berylreach/forward/version_shift.h"

namespace berylreach::forward {

/// Counts of all answers, by route and leaf for the target version and by route
/// and zone for the other versions.
class VersionTotals {
 public:
  /// Route and leaf, or route and zone.
  using Key = std::pair<std::string, std::string>;

  struct TargetCounts {
    std::string zone;
    VersionCounts counts;
  };

  void Add(const VersionCountsRow& row);

  const std::map<Key, TargetCounts>& target() const { return target_; }
  const std::map<Key, VersionCounts>& others() const { return others_; }
  VersionCounts TargetSum() const;
  VersionCounts OthersSum() const;
  /// Sum of the other versions' counts on a route.
  VersionCounts OthersOnRoute(const std::string& route) const;
  /// Counts of the other versions on a route in a zone.
  VersionCounts OthersIn(const std::string& route,
                         const std::string& zone) const;
  /// Counts of a leaf of the target version on a route.
  VersionCounts TargetAt(const std::string& route,
                         const std::string& leaf) const;
  /// The counts as rows of a report.
  std::vector<VersionCountsRow> Rows() const;

 private:
  std::map<Key, TargetCounts> target_;
  std::map<Key, VersionCounts> others_;
};

}  // namespace berylreach::forward
