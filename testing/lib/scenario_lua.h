// Access to the values that a scenario passes to the functions of the test
// language.
#pragma once

#include <chrono>
#include <lua.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "berylreach/testing/scenario.h"

namespace berylreach::testing {

/// An argument that a function of the test language cannot use. Functions throw
/// it in place of raising a Lua error, which would skip C++ destructors.
class ScenarioError : public std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// One function of the test language; returns the number of its results on the
/// Lua stack.
using ScenarioFunction = int (*)(Scenario&, lua_State*);

struct ScenarioEntry {
  const char* name;
  ScenarioFunction function;
};

/// Makes the functions global in `state`; `scenario` must outlive it.
void RegisterFunctions(lua_State* state, Scenario& scenario,
                       const std::vector<ScenarioEntry>& entries);

/// Position of the running line of the scenario, as "file:line: ".
std::string Where(lua_State* state);

// Arguments; those that are missing or of another type throw ScenarioError.
std::string StringArgument(lua_State* state, int index);
double NumberArgument(lua_State* state, int index);
std::chrono::milliseconds MillisecondsArgument(lua_State* state, int index);
/// True if the argument is absent.
bool SwitchArgument(lua_State* state, int index);

// Fields of the table at `index`; nothing if the field is absent.
std::optional<std::string> StringField(lua_State* state, int index,
                                       const char* name);
std::optional<double> NumberField(lua_State* state, int index,
                                  const char* name);
std::optional<bool> BoolField(lua_State* state, int index, const char* name);

/// The strings of the list at `index`.
std::vector<std::string> ListArgument(lua_State* state, int index);

int Push(lua_State* state, const std::string& value);
int Push(lua_State* state, double value);
int Push(lua_State* state, bool value);
int Push(lua_State* state, const std::vector<std::string>& values);

/// Milliseconds since the start of the world's clock.
double Milliseconds(base::TimePoint time);

// The groups of functions.
const std::vector<ScenarioEntry>& HostFunctions();
const std::vector<ScenarioEntry>& RequestFunctions();
const std::vector<ScenarioEntry>& PlatformFunctions();
const std::vector<ScenarioEntry>& CounterFunctions();

}  // namespace berylreach::testing
