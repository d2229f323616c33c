// The faults of the fault matrix.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "berylreach/testing/invariants.h"
#include "berylreach/testing/world.h"

namespace berylreach::testing {

/// Where a fault strikes. The first host and leaf are those that the operation
/// under test uses.
struct FaultTarget {
  World& world;
  Invariants& invariants;
  std::string host;
  std::string other_host;
  std::string leaf;
  std::string zone;
};

/// One kind of fault with its end.
struct Fault {
  std::string name;
  std::function<void(FaultTarget&)> begin;
  std::function<void(FaultTarget&)> end;
};

/// All faults that docs/design.md expects, each by itself.
const std::vector<Fault>& AllFaults();

/// The fault of that name; null if there is none.
const Fault* FindFault(const std::string& name);

}  // namespace berylreach::testing
