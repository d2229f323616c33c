// The configuration in force and those that it replaced a moment ago.
#pragma once

#include <cstddef>
#include <deque>
#include <memory>

#include "berylreach/base/clock.h"
#include "berylreach/forward/route_table.h"

namespace berylreach::forward {

/// Hosts learn of a new configuration within seconds of each other. Meanwhile
/// a host that already has it still runs groups of shards for those that do
/// not, whose requests belong to the former one. Not thread-safe.
class RouteTableHistory {
 public:
  using Table = std::shared_ptr<const RouteTable>;

  explicit RouteTableHistory(const base::Clock& clock) : clock_(clock) {}

  /// Puts a configuration in force; false if it is not newer than the present
  /// one, which then stays.
  bool Adopt(Configuration configuration);

  /// The table in force; null before the first one.
  const Table& present() const { return present_; }

  /// The newest table for which `accepts` holds among the present one and those
  /// that were replaced recently; null if there is none.
  template <typename Accepts>
  Table Find(Accepts accepts) const {
    if (present_ != nullptr && accepts(*present_)) return present_;
    for (const Replaced& replaced : replaced_)
      if (!IsOld(replaced) && accepts(*replaced.table)) return replaced.table;
    return nullptr;
  }

 private:
  struct Replaced {
    Table table;
    base::TimePoint at;
  };

  bool IsOld(const Replaced& replaced) const;

  const base::Clock& clock_;
  Table present_;
  /// Newest first.
  std::deque<Replaced> replaced_;
};

}  // namespace berylreach::forward
