// Checks of the invariants of section 1.2 of docs/design.md.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "berylreach/base/clock.h"
#include "berylreach/testing/world.h"

namespace berylreach::testing {

/// Observes a World and reports each violation of an invariant, with the number
/// of the invariant in section 1.2.
class Invariants {
 public:
  explicit Invariants(World& world);

  /// Called when an operator begins to take `zone` out of service or to bring
  /// it back. Work in the zone is allowed as soon as the operator begins to
  /// bring it back: if the response to the write is lost, the zone may be in
  /// service before the operator knows.
  void OnZoneRemovalStarted(const std::string& zone) {
    zones_to_take_out_.insert(zone);
  }
  void OnZoneReturnStarted(const std::string& zone) {
    zones_to_take_out_.erase(zone);
    zone_out_version_.erase(zone);
  }

  /// Called when document `version`, which takes `zone` out of service, has
  /// been written.
  void OnZoneRemovalWritten(const std::string& zone, std::uint64_t version) {
    if (zones_to_take_out_.contains(zone)) zone_out_version_[zone] = version;
  }

  /// Called when the host list begins or stops showing `leaf` as leaving.
  void OnLeaving(const std::string& leaf) { leaving_at_[leaf] = world_.Now(); }
  void OnReturned(const std::string& leaf) { leaving_at_.erase(leaf); }

  /// Called when document `version` has been written to the store. It counts as
  /// accepted once each running host has it in force or holds no lease.
  void OnWritten(std::uint64_t version) { written_.insert(version); }

  /// When `version` was accepted; nullopt if it is not accepted yet.
  std::optional<base::TimePoint> AcceptedAt(std::uint64_t version) const;

  /// Checks document versions and new runs. Must be called at least every 50 ms
  /// of virtual time.
  void Observe();

  /// Returns all violations so far and clears them. Also checks replies, orders
  /// and concurrency, so all requests must have had time to end.
  std::vector<std::string> Violations();

 private:
  void Report(int number, const std::string& what);
  bool InForceEverywhere(std::uint64_t version) const;
  void ObserveDocuments();
  void ObserveNewRuns();
  void CheckRecord(const CallerRecord& record);
  void CheckAnswer(const CallerRecord& record, const model::Answer& answer);
  void CheckOrders();
  void CheckLeaves();

  World& world_;
  std::vector<std::string> violations_;
  /// Number of entries of World::runs() that were checked.
  std::size_t checked_runs_ = 0;
  /// Zones that an operator began to take out of service and has not yet begun
  /// to bring back.
  std::set<std::string> zones_to_take_out_;
  /// Version of the document that took the zone out of service, by zone.
  std::map<std::string, std::uint64_t> zone_out_version_;
  /// Versions of documents that are written but not accepted yet.
  std::set<std::uint64_t> written_;
  /// When the host list began to show the leaf as leaving, by leaf.
  std::map<std::string, base::TimePoint> leaving_at_;
  /// When the document was accepted, by version.
  std::map<std::uint64_t, base::TimePoint> accepted_at_;
  /// Highest document version seen on each host process, by host name and
  /// incarnation.
  std::map<std::pair<std::string, std::uint64_t>, std::uint64_t>
      highest_version_;
};

}  // namespace berylreach::testing
