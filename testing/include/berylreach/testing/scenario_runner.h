// Runs scenarios written in Lua.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace berylreach::testing {

/// Runs the Lua file at `path` against a new World with `seed`, then checks all
/// invariants. Returns every failure with its file and line, or with the number
/// of the invariant. The functions that a scenario may call are listed in
/// testing/scenarios/README.md.
std::vector<std::string> RunScenario(const std::string& path,
                                     std::uint64_t seed);

}  // namespace berylreach::testing
