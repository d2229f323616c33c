// Measurement of the control cost of hosts.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "berylreach/testing/world.h"
#include "control_load.h"
#include "traffic_counter.h"

namespace berylreach::capacity {

/// Runs hosts without caller requests in virtual time and counts their
/// messages, their calls to the platform and their CPU time.
class ControlRun {
 public:
  explicit ControlRun(const ControlLoad& load);

  /// Starts the hosts as members of one epoch and waits until all are ready.
  /// Returns false if they do not become ready in time.
  bool Start();
  /// Applies the load and counts; must be called once, after Start() has
  /// succeeded.
  void Measure();

  const TrafficCounter& traffic() const { return traffic_; }
  std::uint64_t host_list_calls() const { return host_list_calls_; }
  /// Growth of the resident memory of the process, in bytes, from before the
  /// start of the hosts until they have settled.
  std::uint64_t resident_bytes() const { return resident_bytes_; }
  /// Times from the write of each document to its adoption by all hosts.
  const std::vector<std::chrono::milliseconds>& adoption_times() const {
    return adoption_times_;
  }
  /// Number of epochs that began during the measurement.
  std::uint64_t epochs() const;
  std::size_t restarts() const { return restarts_; }
  std::size_t list_changes() const { return list_changes_; }

 private:
  bool AllReady() const;
  /// Lowest document version in force on a running host.
  std::uint64_t MinDocumentVersion() const;
  void WriteHeadRecord();
  /// Advances the virtual time by one step and records the documents that all
  /// hosts have adopted in it.
  void AdvanceOneStep();
  void SubmitChange();
  void RestartHost();
  void ChangeHostList();

  ControlLoad load_;
  testing::World world_;
  TrafficCounter traffic_;
  std::uint64_t first_epoch_ = 0;
  std::uint64_t host_list_calls_ = 0;
  std::uint64_t resident_bytes_ = 0;
  std::size_t restarts_ = 0;
  std::size_t submitted_changes_ = 0;
  std::size_t list_changes_ = 0;
  /// Write times, by version, of the documents that not all hosts have adopted
  /// yet.
  std::map<std::uint64_t, base::TimePoint> pending_adoptions_;
  std::vector<std::chrono::milliseconds> adoption_times_;
};

}  // namespace berylreach::capacity
