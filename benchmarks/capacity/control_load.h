// What one measurement of the control cost runs.
#pragma once

#include <cstddef>

namespace berylreach::capacity {

/// Size of the fleet and the changes to which it is exposed.
struct ControlLoad {
  std::size_t hosts = 6;
  std::size_t leaves = 96;
  /// Replicas of each shard of the one service.
  std::size_t replicas = 2;
  /// Length of the measurement in virtual seconds.
  std::size_t seconds = 30;
  /// Documents submitted per virtual second.
  double changes_per_second = 0;
  /// Hosts killed and started again per virtual minute; each costs two epochs.
  double restarts_per_minute = 0;
  /// Leaving nodes that the host list names.
  std::size_t listed = 0;
  /// Changes of the host list per virtual minute.
  double list_changes_per_minute = 0;
};

}  // namespace berylreach::capacity
