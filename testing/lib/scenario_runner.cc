// Runs test scenarios written in Lua.
#include "berylreach/testing/scenario_runner.h"

#include <memory>

#include "scenario_lua.h"

namespace berylreach::testing {
namespace {

// Maximum number of Lua instructions; ends scenarios that loop forever.
constexpr int kInstructionLimit = 50'000'000;

// Lua code run before each scenario. It defines leaf(name){...}, which applies
// the fields of the table to the leaf.
constexpr const char* kPrelude =
    "function leaf(name) return function(change) "
    "change_leaf(change, name) end end";

using State = std::unique_ptr<lua_State, decltype(&lua_close)>;

void OnInstructionLimit(lua_State* state, lua_Debug* /*activation*/) {
  luaL_error(state, "the scenario exceeds its instruction limit");
}

void OpenLibraries(lua_State* state) {
  luaL_requiref(state, "_G", luaopen_base, 1);
  luaL_requiref(state, LUA_TABLIBNAME, luaopen_table, 1);
  luaL_requiref(state, LUA_STRLIBNAME, luaopen_string, 1);
  luaL_requiref(state, LUA_MATHLIBNAME, luaopen_math, 1);
  lua_settop(state, 0);
  // Remove the functions of the base library that read files or compile text.
  for (const char* name : {"dofile", "loadfile", "load"}) {
    lua_pushnil(state);
    lua_setglobal(state, name);
  }
}

void RegisterAll(lua_State* state, Scenario& scenario) {
  for (const auto* group : {&HostFunctions(), &RequestFunctions(),
                            &PlatformFunctions(), &CounterFunctions()}) {
    RegisterFunctions(state, scenario, *group);
  }
}

std::string ErrorText(lua_State* state) {
  return luaL_tolstring(state, -1, nullptr);
}

}  // namespace

std::vector<std::string> RunScenario(const std::string& path,
                                     std::uint64_t seed) {
  Scenario scenario(seed);
  const State state(luaL_newstate(), lua_close);
  OpenLibraries(state.get());
  RegisterAll(state.get(), scenario);
  lua_pushinteger(state.get(), static_cast<lua_Integer>(seed));
  lua_setglobal(state.get(), "seed");
  lua_sethook(state.get(), OnInstructionLimit, LUA_MASKCOUNT,
              kInstructionLimit);
  const bool failed = luaL_dostring(state.get(), kPrelude) ||
                      luaL_dofile(state.get(), path.c_str());
  if (failed) scenario.Fail("", ErrorText(state.get()));
  auto failures = scenario.failures();
  const auto violations = scenario.invariants().Violations();
  failures.insert(failures.end(), violations.begin(), violations.end());
  return failures;
}

}  // namespace berylreach::testing
