// Lua functions for the store, the leaves and the operators.
#include <algorithm>
#include <memory>

#include "scenario_lua.h"

namespace berylreach::testing {
namespace {

using std::chrono::milliseconds;

milliseconds ToMilliseconds(double number) {
  return milliseconds(static_cast<std::int64_t>(number));
}

/// store{down=, slow_ms=, lose=, late=, stale=}: sets faults of the store;
/// absent fields change nothing.
int Store(Scenario& scenario, lua_State* state) {
  FakeStore& store = scenario.world().store();
  if (const auto down = BoolField(state, 1, "down")) store.SetDown(*down);
  if (const auto slow = NumberField(state, 1, "slow_ms"))
    store.SetDelay(ToMilliseconds(*slow));
  if (const auto lose = NumberField(state, 1, "lose"))
    store.SetLoseResponses(*lose);
  if (const auto late = NumberField(state, 1, "late"))
    store.SetLateWrites(*late);
  if (const auto stale = BoolField(state, 1, "stale"))
    store.SetStaleReads(*stale);
  return 0;
}

FakeLeaf& FindLeaf(Scenario& scenario, const std::string& name) {
  if (!scenario.world().leaves().contains(name))
    throw ScenarioError("unknown leaf " + name);
  return scenario.world().leaf(name);
}

void ChangeLeaf(FakeLeaf& leaf, lua_State* state) {
  if (BoolField(state, 1, "kill").value_or(false)) leaf.Kill();
  if (BoolField(state, 1, "restart").value_or(false)) leaf.Restart();
  if (BoolField(state, 1, "cold").value_or(false)) leaf.TurnCold();
  if (const auto on = BoolField(state, 1, "silent")) leaf.SetSilent(*on);
  if (const auto on = BoolField(state, 1, "shedding")) leaf.SetShedding(*on);
  if (const auto on = BoolField(state, 1, "draining")) leaf.SetDraining(*on);
  if (const auto on = BoolField(state, 1, "crossed")) leaf.SetSwapsAnswers(*on);
  if (const auto on = BoolField(state, 1, "ignores_version"))
    leaf.SetIgnoresVersion(*on);
  if (const auto on = BoolField(state, 1, "ignores_deadline"))
    leaf.SetIgnoresDeadline(*on);
  if (const auto time = NumberField(state, 1, "service_ms"))
    leaf.SetServiceTime(ToMilliseconds(*time));
}

/// change_leaf({kill=, restart=, cold=, silent=, shedding=, draining=,
/// crossed=, ignores_version=, ignores_deadline=, service_ms=}, name): sets
/// faults of a leaf. Scenarios call it as leaf(name){...}.
int ChangeLeafByName(Scenario& scenario, lua_State* state) {
  ChangeLeaf(FindLeaf(scenario, StringArgument(state, 2)), state);
  return 0;
}

/// publish_version{service=, version=, shards=, keep=}: publishes an index
/// version.
int PublishVersion(Scenario& scenario, lua_State* state) {
  scenario.world().PublishVersion(
      StringField(state, 1, "service").value_or("order-desk"),
      static_cast<std::uint64_t>(NumberField(state, 1, "version").value_or(2)),
      static_cast<std::uint32_t>(NumberField(state, 1, "shards").value_or(4)),
      BoolField(state, 1, "keep").value_or(false));
  return 0;
}

void SetZone(model::Environment& environment, const std::string& name,
             model::ZoneState zone_state) {
  const auto found = std::find_if(
      environment.zones.begin(), environment.zones.end(),
      [&](const model::Zone& zone) { return zone.name.value == name; });
  if (found == environment.zones.end())
    throw ScenarioError("unknown zone " + name);
  found->state = zone_state;
}

/// submit{zone_out=, zone_in=, region=, racing=, wait=}: submits a document and
/// returns its version. With wait=false it returns at once, without a version.
int Submit(Scenario& scenario, lua_State* state) {
  model::Environment environment = scenario.world().environment();
  if (const auto zone = StringField(state, 1, "zone_out"))
    SetZone(environment, *zone, model::ZoneState::kOutOfService);
  if (const auto zone = StringField(state, 1, "zone_in"))
    SetZone(environment, *zone, model::ZoneState::kInService);
  if (const auto region = StringField(state, 1, "region"))
    environment.zones.back().region = *region;
  // Shared, because the submission may still run after the wait has timed out.
  const auto written = std::make_shared<std::uint64_t>(0);
  scenario.Submit(environment, BoolField(state, 1, "racing").value_or(false),
                  [written](std::uint64_t version) { *written = version; });
  if (!BoolField(state, 1, "wait").value_or(true)) return 0;
  if (!scenario.RunUntil([&] { return *written != 0; },
                         std::chrono::seconds(10))) {
    throw ScenarioError("the document was not written within 10 s");
  }
  return Push(state, static_cast<double>(*written));
}

/// set_leaving{names}: shows exactly these leaves as leaving in the host list.
int SetLeaving(Scenario& scenario, lua_State* state) {
  const auto names = ListArgument(state, 1);
  scenario.SetLeaving({names.begin(), names.end()});
  return 0;
}

/// accepted_at_ms(version): when the document was accepted; nil if it is not.
int AcceptedAt(Scenario& scenario, lua_State* state) {
  const auto at = scenario.invariants().AcceptedAt(
      static_cast<std::uint64_t>(NumberArgument(state, 1)));
  if (!at) return 0;
  return Push(state, Milliseconds(*at));
}

}  // namespace

const std::vector<ScenarioEntry>& PlatformFunctions() {
  static const std::vector<ScenarioEntry> entries = {
      {"store", Store},
      {"change_leaf", ChangeLeafByName},
      {"publish_version", PublishVersion},
      {"submit", Submit},
      {"set_leaving", SetLeaving},
      {"accepted_at_ms", AcceptedAt},
  };
  return entries;
}

}  // namespace berylreach::testing
