// Runs test scenarios written in Lua.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace berylreach::testing {

/// Runs the Lua file at `path` against a new World with `seed`, then checks all
/// invariants. Returns all failures, each with its file and line or with the
/// number of the invariant. testing/scenarios/README.md lists the functions
/// that a scenario may call.
std::vector<std::string> RunScenario(const std::string& path,
                                     std::uint64_t seed);

}  // namespace berylreach::testing
