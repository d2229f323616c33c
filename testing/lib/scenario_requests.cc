// Lua functions that send caller requests and check their replies.
#include <variant>

#include "berylreach/config/caller_reply_codec.h"
#include "scenario_lua.h"

namespace berylreach::testing {
namespace {

model::CallerRequest MakeRequest(Scenario& scenario, lua_State* state) {
  const std::string kind = StringField(state, 1, "kind").value_or("query");
  const auto key = StringField(state, 1, "key");
  model::CallerRequest request;
  if (kind == "query") {
    request = Query("\"batch\"");
  } else if (kind == "lookup") {
    request = Lookup(key.value_or("buckle"));
  } else if (kind == "order") {
    request = Order(scenario.world(), key.value_or("order"));
  } else {
    throw ScenarioError("unknown request kind " + kind);
  }
  if (const auto payload = StringField(state, 1, "payload"))
    request.payload = "\"" + *payload + "\"";
  request.minimum_coverage =
      NumberField(state, 1, "least_coverage").value_or(0);
  return request;
}

std::chrono::milliseconds DeadlineField(lua_State* state) {
  return std::chrono::milliseconds(static_cast<std::int64_t>(
      NumberField(state, 1, "deadline_ms").value_or(1000)));
}

/// ask{host=, kind=, key=, payload=, deadline_ms=, least_coverage=}: sends a
/// request and returns its number.
int Ask(Scenario& scenario, lua_State* state) {
  const auto request = MakeRequest(scenario, state);
  const auto host = StringField(state, 1, "host").value_or("a1");
  const auto index =
      scenario.world().SendRequest(host, request, DeadlineField(state));
  return Push(state, static_cast<double>(index));
}

const CallerRecord& RecordAt(Scenario& scenario, double number) {
  const auto& records = scenario.world().records();
  if (number < 0 || number >= static_cast<double>(records.size()))
    throw ScenarioError("unknown request number");
  return records[static_cast<std::size_t>(number)];
}

/// repeat_request{request=, host=, deadline_ms=}: sends a request again, as its
/// caller does after a timeout, and returns the number of the new request.
int RepeatRequest(Scenario& scenario, lua_State* state) {
  const auto& record =
      RecordAt(scenario, NumberField(state, 1, "request").value_or(-1));
  const auto host = StringField(state, 1, "host").value_or(record.host.value);
  const auto index = scenario.world().SendRequest(
      host, model::CallerRequest(record.request), DeadlineField(state));
  return Push(state, static_cast<double>(index));
}

void SetField(lua_State* state, const char* name, double value) {
  lua_pushnumber(state, value);
  lua_setfield(state, -2, name);
}

void SetField(lua_State* state, const char* name, const std::string& value) {
  Push(state, value);
  lua_setfield(state, -2, name);
}

void SetField(lua_State* state, const char* name, bool value) {
  lua_pushboolean(state, value ? 1 : 0);
  lua_setfield(state, -2, name);
}

void SetAnswer(lua_State* state, const model::Answer& answer) {
  SetField(state, "outcome", std::string("answer"));
  SetField(state, "version", static_cast<double>(answer.version));
  SetField(state, "shards_answered",
           static_cast<double>(answer.coverage.shards_answered));
  SetField(state, "shards_total",
           static_cast<double>(answer.coverage.shards_total));
  SetField(state, "whole", answer.coverage.missing.empty());
}

void SetRefusal(lua_State* state, const model::Refusal& refusal) {
  SetField(state, "outcome", std::string("refusal"));
  SetField(state, "error", std::string(model::ToString(refusal.code)));
  SetField(state, "message", refusal.message);
  SetField(state, "ran", std::string(config::ToString(refusal.execution)));
  SetField(state, "retry_after_ms",
           static_cast<double>(refusal.retry_after.count()));
}

void PushRecord(lua_State* state, const CallerRecord& record) {
  lua_newtable(state);
  SetField(state, "host", record.host.value);
  SetField(state, "key", record.request.key);
  SetField(state, "asked_ms", Milliseconds(record.sent_at));
  SetField(state, "cut", record.host_lost);
  if (!record.reply) {
    SetField(state, "outcome", std::string("none"));
    return;
  }
  SetField(state, "after_ms",
           Milliseconds(record.replied_at) - Milliseconds(record.sent_at));
  if (const auto* answer = AnswerOf(record)) {
    SetAnswer(state, *answer);
  } else {
    SetRefusal(state, *RefusalOf(record));
  }
}

/// reply(request): a table with `outcome` ("answer", "refusal" or "none") and
/// the other fields of the reply.
int Reply(Scenario& scenario, lua_State* state) {
  PushRecord(state, RecordAt(scenario, NumberArgument(state, 1)));
  return 1;
}

std::string ToText(lua_State* state, int index) {
  std::string text = luaL_tolstring(state, index, nullptr);
  lua_pop(state, 1);
  return text;
}

/// expect{request=, within_ms=, FIELD=VALUE...}: records a failure if the reply
/// has another value in one of the fields.
int Expect(Scenario& scenario, lua_State* state) {
  const auto number = NumberField(state, 1, "request").value_or(-1);
  const CallerRecord& record = RecordAt(scenario, number);
  const auto within = NumberField(state, 1, "within_ms");
  PushRecord(state, record);
  const int reply = lua_gettop(state);
  std::string mismatches;
  lua_pushnil(state);
  while (lua_next(state, 1) != 0) {
    const std::string name = lua_tostring(state, -2);
    if (name != "request" && name != "within_ms") {
      lua_getfield(state, reply, name.c_str());
      if (lua_compare(state, -1, -2, LUA_OPEQ) == 0) {
        mismatches += " " + name + " is " + ToText(state, -1) + ", not " +
                      ToText(state, -2) + ";";
      }
      lua_pop(state, 1);
    }
    lua_pop(state, 1);
  }
  const double after = record.reply ? Milliseconds(record.replied_at) -
                                          Milliseconds(record.sent_at)
                                    : 0;
  if (within && (!record.reply || after > *within))
    mismatches += " no reply within " + std::to_string(*within) + " ms;";
  if (mismatches.empty()) return 0;
  lua_getfield(state, reply, "message");
  const std::string message =
      lua_isnil(state, -1) ? "" : " message: " + ToText(state, -1);
  scenario.Fail(Where(state),
                "request " + std::to_string(record.request.id.counter) +
                    " at " + record.host.value + ":" + mismatches + message);
  return 0;
}

int StartTraffic(Scenario& scenario, lua_State* state) {
  scenario.traffic().Start(MillisecondsArgument(state, 1));
  return 0;
}

int StopTraffic(Scenario& scenario, lua_State* /*state*/) {
  scenario.traffic().Stop();
  return 0;
}

/// check(condition, message): records a failure if the condition is false.
int Check(Scenario& scenario, lua_State* state) {
  if (lua_toboolean(state, 1) == 0)
    scenario.Fail(Where(state), StringArgument(state, 2));
  return 0;
}

}  // namespace

const std::vector<ScenarioEntry>& RequestFunctions() {
  static const std::vector<ScenarioEntry> entries = {
      {"ask", Ask},
      {"repeat_request", RepeatRequest},
      {"reply", Reply},
      {"expect", Expect},
      {"start_traffic", StartTraffic},
      {"stop_traffic", StopTraffic},
      {"check", Check},
  };
  return entries;
}

}  // namespace berylreach::testing
