// Faults that the fault matrix and random tests inject.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "berylreach/testing/invariants.h"
#include "berylreach/testing/world.h"

namespace berylreach::testing {

/// Where a fault is injected. Each kind of fault uses those of the members that
/// it needs; the fault matrix sets them to hosts and a leaf on which the
/// operation under test depends.
struct FaultTarget {
  World& world;
  Invariants& invariants;
  std::string host;
  std::string other_host;
  std::string leaf;
  std::string zone;
};

/// One kind of fault: how it begins and how it ends.
struct Fault {
  std::string name;
  std::function<void(FaultTarget&)> begin;
  std::function<void(FaultTarget&)> end;
};

/// All single faults that docs/design.md expects.
const std::vector<Fault>& AllFaults();

/// The fault named `name`; null if there is none.
const Fault* FindFault(const std::string& name);

}  // namespace berylreach::testing
