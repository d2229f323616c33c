// State of one running Lua scenario.
#pragma once

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "berylreach/testing/deployment.h"
#include "berylreach/testing/invariants.h"
#include "berylreach/testing/traffic.h"
#include "berylreach/testing/world.h"

namespace berylreach::testing {

/// A World with its invariants and background traffic, on which the functions
/// that a scenario calls operate.
class Scenario {
 public:
  explicit Scenario(std::uint64_t seed)
      : world_(SmallEnvironment(), seed),
        invariants_(world_),
        traffic_(world_) {}

  World& world() { return world_; }
  Invariants& invariants() { return invariants_; }
  Traffic& traffic() { return traffic_; }

  /// Advances virtual time and observes the invariants at short intervals.
  void RunFor(base::Duration time);
  /// Like RunFor, but only until `condition` holds. Returns false if `limit`
  /// passes first.
  bool RunUntil(const std::function<bool()>& condition, base::Duration limit);

  /// Submits a document as an operator does; with `racing`, as another
  /// operator, who does not wait for earlier submissions. `written` is called
  /// with the version once it is in the store.
  void Submit(const model::Environment& environment, bool racing,
              std::function<void(std::uint64_t)> written);

  /// Shows exactly these leaves as leaving in the host list.
  void SetLeaving(const std::set<std::string>& leaves);

  /// Records a failed check; `where` is the prefix "file:line: " of the
  /// message.
  void Fail(const std::string& where, const std::string& message) {
    failures_.push_back(where + message);
  }
  const std::vector<std::string>& failures() const { return failures_; }

 private:
  /// Notifies the invariants which zones document `version` takes out of
  /// service or leaves in service.
  void RecordZoneStates(const model::Environment& environment,
                        std::uint64_t version);

  World world_;
  Invariants invariants_;
  Traffic traffic_;
  std::set<std::string> leaving_;
  std::vector<std::string> failures_;
};

}  // namespace berylreach::testing
