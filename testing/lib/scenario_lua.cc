// Conversion between Lua values and C++ values, and calls from Lua to C++.
#include "scenario_lua.h"

#include <cmath>

namespace berylreach::testing {
namespace {

[[noreturn]] void BadArgument(lua_State* state, int index,
                              const char* expected) {
  throw ScenarioError("argument " + std::to_string(index) + " must be " +
                      expected + ", not " + luaL_typename(state, index));
}

/// Pushes the field onto the stack. Returns false and pushes nothing if it is
/// absent.
bool PushField(lua_State* state, int index, const char* name) {
  if (!lua_istable(state, index)) BadArgument(state, index, "a table");
  if (lua_getfield(state, index, name) != LUA_TNIL) return true;
  lua_pop(state, 1);
  return false;
}

[[noreturn]] void BadField(const char* name, const char* expected) {
  throw ScenarioError(std::string("field ") + name + " must be " + expected);
}

/// Entry point of all registered functions: the first upvalue is the
/// ScenarioFunction, the second the Scenario. Turns exceptions into Lua errors.
int CallFunction(lua_State* state) {
  {
    const auto function = reinterpret_cast<ScenarioFunction>(
        lua_touserdata(state, lua_upvalueindex(1)));
    auto* scenario =
        static_cast<Scenario*>(lua_touserdata(state, lua_upvalueindex(2)));
    try {
      return function(*scenario, state);
    } catch (const std::exception& error) {
      lua_pushstring(state, error.what());
    }
  }
  // No C++ object with a destructor may be alive here, because lua_error does
  // not return and skips destructors.
  luaL_where(state, 1);
  lua_insert(state, -2);
  lua_concat(state, 2);
  return lua_error(state);
}

}  // namespace

void RegisterFunctions(lua_State* state, Scenario& scenario,
                       const std::vector<ScenarioEntry>& entries) {
  for (const ScenarioEntry& entry : entries) {
    lua_pushlightuserdata(state, reinterpret_cast<void*>(entry.function));
    lua_pushlightuserdata(state, &scenario);
    lua_pushcclosure(state, CallFunction, 2);
    lua_setglobal(state, entry.name);
  }
}

std::string Where(lua_State* state) {
  luaL_where(state, 1);
  std::string where = lua_tostring(state, -1);
  lua_pop(state, 1);
  return where;
}

std::string StringArgument(lua_State* state, int index) {
  if (lua_type(state, index) != LUA_TSTRING)
    BadArgument(state, index, "a string");
  return lua_tostring(state, index);
}

double NumberArgument(lua_State* state, int index) {
  if (lua_type(state, index) != LUA_TNUMBER)
    BadArgument(state, index, "a number");
  return lua_tonumber(state, index);
}

std::chrono::milliseconds MillisecondsArgument(lua_State* state, int index) {
  const double number = NumberArgument(state, index);
  return std::chrono::milliseconds(std::llround(number));
}

bool SwitchArgument(lua_State* state, int index) {
  return lua_isnoneornil(state, index) || lua_toboolean(state, index) != 0;
}

std::optional<std::string> StringField(lua_State* state, int index,
                                       const char* name) {
  if (!PushField(state, index, name)) return std::nullopt;
  if (lua_type(state, -1) != LUA_TSTRING) BadField(name, "a string");
  std::string value = lua_tostring(state, -1);
  lua_pop(state, 1);
  return value;
}

std::optional<double> NumberField(lua_State* state, int index,
                                  const char* name) {
  if (!PushField(state, index, name)) return std::nullopt;
  if (lua_type(state, -1) != LUA_TNUMBER) BadField(name, "a number");
  const double value = lua_tonumber(state, -1);
  lua_pop(state, 1);
  return value;
}

std::optional<bool> BoolField(lua_State* state, int index, const char* name) {
  if (!PushField(state, index, name)) return std::nullopt;
  if (!lua_isboolean(state, -1)) BadField(name, "true or false");
  const bool value = lua_toboolean(state, -1) != 0;
  lua_pop(state, 1);
  return value;
}

std::vector<std::string> ListArgument(lua_State* state, int index) {
  if (!lua_istable(state, index)) BadArgument(state, index, "a list");
  std::vector<std::string> values;
  const auto size = static_cast<lua_Integer>(lua_rawlen(state, index));
  for (lua_Integer position = 1; position <= size; ++position) {
    if (lua_rawgeti(state, index, position) != LUA_TSTRING)
      BadArgument(state, index, "a list of strings");
    values.emplace_back(lua_tostring(state, -1));
    lua_pop(state, 1);
  }
  return values;
}

int Push(lua_State* state, const std::string& value) {
  lua_pushlstring(state, value.data(), value.size());
  return 1;
}

int Push(lua_State* state, double value) {
  lua_pushnumber(state, value);
  return 1;
}

int Push(lua_State* state, bool value) {
  lua_pushboolean(state, value ? 1 : 0);
  return 1;
}

int Push(lua_State* state, const std::vector<std::string>& values) {
  lua_newtable(state);
  lua_Integer position = 0;
  for (const std::string& value : values) {
    Push(state, value);
    lua_rawseti(state, -2, ++position);
  }
  return 1;
}

double Milliseconds(base::TimePoint time) {
  return std::chrono::duration<double, std::milli>(time.time_since_epoch())
      .count();
}

}  // namespace berylreach::testing
