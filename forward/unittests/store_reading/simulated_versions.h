// The versions of the configuration on a simulated host: those that it has
// learned of, and the one in force.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "berylreach/forward/shard_set_handover.h"
#include "virtual_time.h"

namespace berylreach::forward {

/// Puts versions in force by ShardSetHandover. The leaves of all sets stay
/// cold, so that a version with a new set waits for as long as it may.
class SimulatedVersions {
 public:
  /// Key of the record that holds the newest version.
  static constexpr char kKey[] = "op/config";

  SimulatedVersions(VirtualTime& time, milliseconds apply_time)
      : time_(time), handover_(time.clock(), directory_, apply_time) {}

  /// Returns the record of `version`, whose route uses `set`.
  static std::string RecordOf(std::uint64_t version, const std::string& set) {
    return std::to_string(version) + " " + set;
  }

  /// Handles a record that this host has learned; see ShardSetHandover.
  void OnRecord(const std::string& record, base::TimePoint acknowledged_after) {
    const std::size_t space = record.find(' ');
    const std::uint64_t version = std::stoull(record.substr(0, space));
    if (version <= newest_) return;
    newest_ = version;
    learned_at_ = time_.Now();
    const std::string set = record.substr(space + 1);
    PutLeaf(set);
    Route route{.minimum_coverage = 1};
    route.name = "r";
    route.shards = {set};
    Configuration configuration{.version = version, .routes = {route}};
    configuration.services.push_back({.name = set});
    Adopt(handover_.OnConfiguration(std::move(configuration),
                                    in_force_ ? &*in_force_ : nullptr,
                                    acknowledged_after));
  }
  void Tick() { Adopt(handover_.Tick()); }

  /// The version in force; 0 if there is none.
  std::uint64_t in_force() const { return in_force_ ? in_force_->version : 0; }
  /// When this host learned of the newest version, and when the version in
  /// force was put in force.
  base::TimePoint learned_at() const { return learned_at_; }
  base::TimePoint adopted_at() const { return adopted_at_; }

 private:
  void PutLeaf(const std::string& set) {
    directory_.Put({.id = "leaf-" + set,
                    .service = set,
                    .address = "9:9",
                    .zone = "z",
                    .cold_left = std::chrono::hours(1)});
  }
  void Adopt(std::optional<Configuration> due) {
    if (!due) return;
    in_force_ = std::move(*due);
    adopted_at_ = time_.Now();
  }

  VirtualTime& time_;
  LeafDirectory directory_{
      time_.clock(),
      {.zone = "z", .region = "rz", .region_of_zone = {{"z", "rz"}}}};
  ShardSetHandover handover_;
  std::optional<Configuration> in_force_;
  std::uint64_t newest_ = 0;
  base::TimePoint learned_at_{};
  base::TimePoint adopted_at_{};
};

}  // namespace berylreach::forward
