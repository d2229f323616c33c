// Conversion between the Lua values of a scenario and C++ values.
#pragma once

#include <chrono>
#include <lua.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "berylreach/testing/scenario.h"

namespace berylreach::testing {

/// Error in a call from a scenario, such as a bad argument. Functions throw it
/// instead of raising a Lua error, which would skip C++ destructors.
class ScenarioError : public std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// A function that scenarios call; returns the number of results that it pushed
/// onto the Lua stack.
using ScenarioFunction = int (*)(Scenario&, lua_State*);

/// A function and its name in Lua.
struct ScenarioEntry {
  const char* name;
  ScenarioFunction function;
};

/// Registers the functions as globals of `state`; `scenario` must outlive it.
void RegisterFunctions(lua_State* state, Scenario& scenario,
                       const std::vector<ScenarioEntry>& entries);

/// Position of the current line of the scenario, as "file:line: ".
std::string Where(lua_State* state);

// Arguments of the call; each throws ScenarioError if the argument is missing
// or of another type.
std::string StringArgument(lua_State* state, int index);
double NumberArgument(lua_State* state, int index);
std::chrono::milliseconds MillisecondsArgument(lua_State* state, int index);
/// Returns the truth value of the argument, or true if it is absent.
bool SwitchArgument(lua_State* state, int index);

// Fields of the table at `index`; nullopt if the field is absent. Each throws
// ScenarioError if it has another type.
std::optional<std::string> StringField(lua_State* state, int index,
                                       const char* name);
std::optional<double> NumberField(lua_State* state, int index,
                                  const char* name);
std::optional<bool> BoolField(lua_State* state, int index, const char* name);

/// The strings of the list at `index`.
std::vector<std::string> ListArgument(lua_State* state, int index);

// Push a value onto the Lua stack and return 1, the number of results.
int Push(lua_State* state, const std::string& value);
int Push(lua_State* state, double value);
int Push(lua_State* state, bool value);
int Push(lua_State* state, const std::vector<std::string>& values);

/// Milliseconds since the epoch of the clock of the World.
double Milliseconds(base::TimePoint time);

// The functions that scenarios call, by group. testing/scenarios/README.md
// describes each of them.
const std::vector<ScenarioEntry>& HostFunctions();
const std::vector<ScenarioEntry>& RequestFunctions();
const std::vector<ScenarioEntry>& PlatformFunctions();
const std::vector<ScenarioEntry>& CounterFunctions();

}  // namespace berylreach::testing
