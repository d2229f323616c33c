// Runs scenarios written in Lua.
#include "berylreach/testing/scenario_runner.h"

#include <memory>

#include "scenario_lua.h"

namespace berylreach::testing {
namespace {

// A scenario that does not end is stopped after this many instructions.
constexpr int kInstructionLimit = 50'000'000;

// Written in the test language: leaf(name){...} reads like a statement about
// the leaf.
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
  // These functions of the base library read files or compile text.
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
