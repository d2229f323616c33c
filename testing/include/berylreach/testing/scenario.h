// The state of one running scenario.
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

/// A world with its checks and callers, as the functions of the test language
/// use it.
class Scenario {
 public:
  explicit Scenario(std::uint64_t seed)
      : world_(SmallEnvironment(), seed),
        invariants_(world_),
        traffic_(world_) {}

  World& world() { return world_; }
  Invariants& invariants() { return invariants_; }
  Traffic& traffic() { return traffic_; }

  /// Runs virtual time and observes the invariants at short intervals.
  void RunFor(base::Duration time);
  /// The same until `condition` holds; false if `limit` passed first.
  bool RunUntil(const std::function<bool()>& condition, base::Duration limit);

  /// Writes a document as an operator does. With `racing`, as another operator
  /// who waits for nobody.
  /// `written` is called with the version once it is in the store.
  void Submit(const model::Environment& environment, bool racing,
              std::function<void(std::uint64_t)> written);

  /// Shows exactly these leaves as leaving.
  void SetLeaving(const std::set<std::string>& leaves);

  /// Records a failed check; `where` is its file and line.
  void Fail(const std::string& where, const std::string& message) {
    failures_.push_back(where + message);
  }
  const std::vector<std::string>& failures() const { return failures_; }

 private:
  void NoteZones(const model::Environment& environment, std::uint64_t version);

  World world_;
  Invariants invariants_;
  Traffic traffic_;
  std::set<std::string> leaving_;
  std::vector<std::string> failures_;
};

}  // namespace berylreach::testing
