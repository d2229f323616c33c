// Lua functions that return the virtual time, counts of calls, requests and
// events, and the state of leaves.
#include <algorithm>
#include <string_view>

#include "berylreach/config/request_kind_name.h"
#include "scenario_lua.h"

namespace berylreach::testing {
namespace {

/// True if there is no filter or it equals `value`.
bool Matches(const std::optional<std::string>& filter, std::string_view value) {
  return !filter || *filter == value;
}

int NowMs(Scenario& scenario, lua_State* state) {
  return Push(state, Milliseconds(scenario.world().Now()));
}

/// runs{leaf=, zone=, kind=, key=, payload=, since_ms=}: the number of calls
/// that started on leaves.
int Runs(Scenario& scenario, lua_State* state) {
  const auto leaf = StringField(state, 1, "leaf");
  const auto zone = StringField(state, 1, "zone");
  const auto kind = StringField(state, 1, "kind");
  const auto key = StringField(state, 1, "key");
  auto payload = StringField(state, 1, "payload");
  if (payload) payload = "\"" + *payload + "\"";
  const double since = NumberField(state, 1, "since_ms").value_or(0);
  World& world = scenario.world();
  const auto count = std::count_if(
      world.runs().begin(), world.runs().end(), [&](const LeafRun& run) {
        return Milliseconds(run.at) >= since && Matches(leaf, run.leaf.value) &&
               Matches(kind, config::ToString(run.kind)) &&
               Matches(key, run.key) && Matches(payload, run.payload) &&
               Matches(zone, world.leaf(run.leaf.value).leaf().zone.value);
      });
  return Push(state, static_cast<double>(count));
}

/// Number of selected requests, by outcome. `cut` counts those whose host was
/// killed before it replied.
struct RequestCounts {
  double asked = 0;
  double whole = 0;
  double partial = 0;
  double refused = 0;
  double unanswered = 0;
  double cut = 0;
};

void Count(RequestCounts& counts, const CallerRecord& record) {
  ++counts.asked;
  if (record.host_lost) ++counts.cut;
  if (!record.reply) {
    ++counts.unanswered;
  } else if (const auto* answer = AnswerOf(record)) {
    ++(answer->coverage.missing.empty() ? counts.whole : counts.partial);
  } else {
    ++counts.refused;
  }
}

/// requests{kind=, host=, error=, since_ms=}: a table with `asked`, `whole`,
/// `partial`, `refused`, `unanswered` and `cut`.
int Requests(Scenario& scenario, lua_State* state) {
  const auto kind = StringField(state, 1, "kind");
  const auto host = StringField(state, 1, "host");
  const auto error = StringField(state, 1, "error");
  const double since = NumberField(state, 1, "since_ms").value_or(0);
  RequestCounts counts;
  for (const CallerRecord& record : scenario.world().records()) {
    const auto* refusal = RefusalOf(record);
    if (error &&
        (refusal == nullptr || model::ToString(refusal->code) != *error))
      continue;
    if (Milliseconds(record.sent_at) >= since &&
        Matches(kind, config::ToString(record.request.kind)) &&
        Matches(host, record.host.value)) {
      Count(counts, record);
    }
  }
  lua_newtable(state);
  const std::pair<const char*, double> fields[] = {
      {"asked", counts.asked},     {"whole", counts.whole},
      {"partial", counts.partial}, {"refused", counts.refused},
      {"cut", counts.cut},         {"unanswered", counts.unanswered}};
  for (const auto& [name, value] : fields) {
    Push(state, value);
    lua_setfield(state, -2, name);
  }
  return 1;
}

int PlatformCalls(Scenario& scenario, lua_State* state) {
  World& world = scenario.world();
  return Push(state, static_cast<double>(world.store().calls() +
                                         world.host_list_calls()));
}

/// leaves{zone=, prefix=}: names of leaves.
int Leaves(Scenario& scenario, lua_State* state) {
  const auto zone = StringField(state, 1, "zone");
  const auto prefix = StringField(state, 1, "prefix").value_or("");
  std::vector<std::string> names;
  for (const auto& [name, leaf] : scenario.world().leaves()) {
    if (Matches(zone, leaf->leaf().zone.value) && name.starts_with(prefix))
      names.push_back(name);
  }
  return Push(state, names);
}

int Alive(Scenario& scenario, lua_State* state) {
  return Push(state, scenario.world().leaf(StringArgument(state, 1)).alive());
}

/// restarts(leaf): the number of restarts of the leaf so far.
int Restarts(Scenario& scenario, lua_State* state) {
  const auto& leaf = scenario.world().leaf(StringArgument(state, 1));
  return Push(state, static_cast<double>(leaf.incarnation() - 1));
}

int MostRunning(Scenario& scenario, lua_State* state) {
  const auto& leaf = scenario.world().leaf(StringArgument(state, 1));
  return Push(state, static_cast<double>(leaf.max_running()));
}

int MostRunningCold(Scenario& scenario, lua_State* state) {
  const auto& leaf = scenario.world().leaf(StringArgument(state, 1));
  return Push(state, static_cast<double>(leaf.max_running_cold()));
}

/// events{type=, host=, since_ms=}: the number of events that hosts recorded.
int Events(Scenario& scenario, lua_State* state) {
  const auto type = StringField(state, 1, "type");
  const auto host = StringField(state, 1, "host");
  const double since = NumberField(state, 1, "since_ms").value_or(0);
  const auto& events = scenario.world().events();
  const auto count =
      std::count_if(events.begin(), events.end(), [&](const WorldEvent& event) {
        return Milliseconds(event.at) >= since && Matches(type, event.type) &&
               Matches(host, event.host);
      });
  return Push(state, static_cast<double>(count));
}

}  // namespace

const std::vector<ScenarioEntry>& CounterFunctions() {
  static const std::vector<ScenarioEntry> entries = {
      {"now_ms", NowMs},
      {"runs", Runs},
      {"requests", Requests},
      {"platform_calls", PlatformCalls},
      {"leaves", Leaves},
      {"alive", Alive},
      {"restarts", Restarts},
      {"most_running", MostRunning},
      {"most_running_cold", MostRunningCold},
      {"events", Events},
  };
  return entries;
}

}  // namespace berylreach::testing
