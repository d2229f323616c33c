// Parameters of one measurement of the control cost.
#pragma once

#include <cstddef>

namespace berylreach::capacity {

/// Size of the fleet and the rates of the changes that the hosts handle.
struct ControlLoad {
  std::size_t hosts = 6;
  /// Leaves of the query service.
  std::size_t leaves = 96;
  /// Replicas of each shard of the query service.
  std::size_t replicas = 2;
  /// Length of the measurement in virtual seconds.
  std::size_t seconds = 30;
  /// Configuration documents submitted per virtual second.
  double changes_per_second = 0;
  /// Hosts killed and restarted per virtual minute. Each restart adds two
  /// epochs: one for the removal of the host and one for its return.
  double restarts_per_minute = 0;
  /// Number of leaving nodes in the host list.
  std::size_t leaving_nodes = 0;
  /// Changes of the host list per virtual minute.
  double list_changes_per_minute = 0;
};

}  // namespace berylreach::capacity
