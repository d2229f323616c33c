// The checks of everything that must always hold (section 1.2 of
// docs/design.md).
#pragma once

#include <map>
#include <string>
#include <vector>

#include "berylreach/base/clock.h"
#include "berylreach/testing/world.h"

namespace berylreach::testing {

/// Observes a World and lists every violation. Numbers are those of
/// section 1.2.
class Invariants {
 public:
  explicit Invariants(World& world);

  /// Tells that a zone was taken out by a document accepted now.
  void OnZoneOut(const std::string& zone);
  void OnZoneIn(const std::string& zone) { zone_out_at_.erase(zone); }

  /// Tells that the host list shows `leaf` as leaving from now on.
  void OnLeaving(const std::string& leaf) { leaving_at_[leaf] = world_.Now(); }
  void OnReturned(const std::string& leaf) { leaving_at_.erase(leaf); }

  /// Tells that `version` has been accepted now.
  void OnAccepted(std::uint64_t version);

  /// Checks document versions and new work; call at least every 50 ms of
  /// virtual time.
  void Observe();

  /// All violations so far, those of finished requests and of orders included.
  /// Call when all requests have had time to end.
  std::vector<std::string> Violations();

 private:
  void Report(int number, const std::string& what);
  void ObserveDocuments();
  void ObserveNewRuns();
  void CheckRecord(const CallerRecord& record);
  void CheckAnswer(const CallerRecord& record, const model::Answer& answer);
  void CheckOrders();
  void CheckLeaves();

  World& world_;
  std::vector<std::string> violations_;
  std::size_t runs_seen_ = 0;
  std::map<std::string, base::TimePoint> zone_out_at_;
  std::map<std::string, base::TimePoint> leaving_at_;
  std::map<std::uint64_t, base::TimePoint> accepted_at_;
  /// Highest document version seen on each host process.
  std::map<std::pair<std::string, std::uint64_t>, std::uint64_t> version_of_;
};

}  // namespace berylreach::testing
