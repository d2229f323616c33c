// The route table in force and those that it replaced recently.
#pragma once

#include <cstddef>
#include <deque>
#include <memory>

#include "berylreach/base/clock.h"
#include "berylreach/forward/route_table.h"

namespace berylreach::forward {

/// Keeps recently replaced route tables. Hosts learn of a new configuration
/// within seconds of each other. Until all of them have it, hosts that still
/// use the former configuration ask hosts with the new one to run groups of
/// shards, and these need the former route table for that. Not thread-safe.
class RouteTableHistory {
 public:
  using Table = std::shared_ptr<const RouteTable>;

  explicit RouteTableHistory(const base::Clock& clock) : clock_(clock) {}

  /// Puts a configuration in force. Returns false and keeps the current one if
  /// the new one is not newer.
  bool Adopt(Configuration configuration);

  /// The table in force; null before the first Adopt.
  const Table& current() const { return current_; }

  /// Returns the newest table for which `accepts` returns true, among the
  /// current one and those replaced recently; null if there is none.
  template <typename Accepts>
  Table Find(Accepts accepts) const {
    if (current_ != nullptr && accepts(*current_)) return current_;
    for (const Replaced& replaced : replaced_)
      if (!IsExpired(replaced) && accepts(*replaced.table))
        return replaced.table;
    return nullptr;
  }

 private:
  struct Replaced {
    Table table;
    base::TimePoint replaced_at;
  };

  bool IsExpired(const Replaced& replaced) const;

  const base::Clock& clock_;
  Table current_;
  /// Newest first.
  std::deque<Replaced> replaced_;
};

}  // namespace berylreach::forward
