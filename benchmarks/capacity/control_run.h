// One measurement of the control cost.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "berylreach/testing/world.h"
#include "control_load.h"
#include "traffic_count.h"

namespace berylreach::capacity {

/// Runs hosts without caller requests in virtual time and counts what they
/// send, call and compute.
class ControlRun {
 public:
  explicit ControlRun(const ControlLoad& load);

  /// Starts the hosts as members of one epoch, and waits until all are ready;
  /// false if they do not become so.
  bool Start();
  /// Runs the load, counting.
  void Measure();

  const TrafficCount& count() const { return count_; }
  std::uint64_t host_list_calls() const { return host_list_calls_; }
  /// Growth of the process' resident memory by the hosts, in bytes.
  std::uint64_t resident_bytes() const { return resident_bytes_; }
  /// Time from the acceptance of each document to its adoption by all hosts.
  const std::vector<std::chrono::milliseconds>& in_force_after() const {
    return in_force_after_;
  }
  std::uint64_t epochs() const;
  std::size_t restarts() const { return restarts_; }
  std::size_t list_changes() const { return list_changes_; }

 private:
  bool AllReady() const;
  std::uint64_t LeastDocument() const;
  void WriteHead();
  void Step();
  void SubmitChange();
  void RestartHost();
  void ChangeHostList();

  ControlLoad load_;
  testing::World world_;
  TrafficCount count_;
  std::uint64_t first_epoch_ = 0;
  std::uint64_t host_list_calls_ = 0;
  std::uint64_t resident_bytes_ = 0;
  std::size_t restarts_ = 0;
  std::size_t changes_ = 0;
  std::size_t list_changes_ = 0;
  /// Accepted documents that are not in force everywhere yet.
  std::map<std::uint64_t, base::TimePoint> pending_;
  std::vector<std::chrono::milliseconds> in_force_after_;
};

}  // namespace berylreach::capacity
