// Lua functions for virtual time, hosts and the network.
#include "berylreach/core/order_runner.h"
#include "berylreach/orders/bucket.h"
#include "scenario_lua.h"

namespace berylreach::testing {
namespace {

const core::HostCore& CoreOf(Scenario& scenario, const std::string& host) {
  const core::HostCore* core = scenario.world().Core(host);
  if (core == nullptr) throw ScenarioError("host " + host + " is not running");
  return *core;
}

int StartHosts(Scenario& scenario, lua_State* /*state*/) {
  if (!StartSixHosts(scenario.world()))
    throw ScenarioError("the hosts did not become ready");
  return 0;
}

int StartHost(Scenario& scenario, lua_State* state) {
  const std::string host = StringArgument(state, 1);
  scenario.world().StartHost(host, host.substr(0, 1));
  return 0;
}

int KillHost(Scenario& scenario, lua_State* state) {
  scenario.world().KillHost(StringArgument(state, 1));
  return 0;
}

int FreezeHost(Scenario& scenario, lua_State* state) {
  scenario.world().FreezeHost(StringArgument(state, 1));
  return 0;
}

int WakeHost(Scenario& scenario, lua_State* state) {
  scenario.world().WakeHost(StringArgument(state, 1));
  return 0;
}

int StopHost(Scenario& scenario, lua_State* state) {
  scenario.world().StopHost(StringArgument(state, 1));
  return 0;
}

int IsolateHost(Scenario& scenario, lua_State* state) {
  scenario.world().SetIsolated(StringArgument(state, 1),
                               SwitchArgument(state, 2));
  return 0;
}

int CutLink(Scenario& scenario, lua_State* state) {
  scenario.world().SetLink(StringArgument(state, 1), StringArgument(state, 2),
                           !SwitchArgument(state, 3));
  return 0;
}

int CutStore(Scenario& scenario, lua_State* state) {
  scenario.world().SetStoreReachable(StringArgument(state, 1),
                                     !SwitchArgument(state, 2));
  return 0;
}

int MessageFaults(Scenario& scenario, lua_State* state) {
  scenario.world().SetMessageFaults(NumberArgument(state, 1),
                                    NumberArgument(state, 2));
  return 0;
}

int Stopped(Scenario& scenario, lua_State* state) {
  return Push(state, scenario.world().Stopped(StringArgument(state, 1)));
}

int Ready(Scenario& scenario, lua_State* state) {
  return Push(state, scenario.world().Ready(StringArgument(state, 1)));
}

int HoldsLease(Scenario& scenario, lua_State* state) {
  return Push(state, CoreOf(scenario, StringArgument(state, 1)).HoldsLease());
}

int VersionInForce(Scenario& scenario, lua_State* state) {
  const auto& core = CoreOf(scenario, StringArgument(state, 1));
  return Push(state, static_cast<double>(core.document().version));
}

int Epoch(Scenario& scenario, lua_State* state) {
  const auto& core = CoreOf(scenario, StringArgument(state, 1));
  return Push(state, static_cast<double>(core.epoch()));
}

int Hosts(Scenario& scenario, lua_State* state) {
  return Push(state, scenario.world().RunningHosts());
}

/// owner_of(leaf, host): the owner of a leaf in the view of a host.
int OwnerOf(Scenario& scenario, lua_State* state) {
  const auto& core = CoreOf(scenario, StringArgument(state, 2));
  const auto owner = core.state().Ownership().Owner({StringArgument(state, 1)});
  return Push(state, owner ? owner->value : std::string());
}

/// bucket_owner(key, host): the host that claims an order with this key, in the
/// view of a host.
int BucketOwnerOf(Scenario& scenario, lua_State* state) {
  const auto& core = CoreOf(scenario, StringArgument(state, 2));
  const auto bucket =
      orders::BucketOf({"hide-ledger"}, StringArgument(state, 1));
  const auto owner = core::BucketOwner(bucket, core.state().Members());
  return Push(state, owner ? owner->host.value : std::string());
}

int RunForMs(Scenario& scenario, lua_State* state) {
  scenario.RunFor(MillisecondsArgument(state, 1));
  return 0;
}

/// run_until(function, limit_ms): advances time until the function returns
/// true. Returns the milliseconds that passed; fails after the limit.
int RunUntil(Scenario& scenario, lua_State* state) {
  const auto limit = MillisecondsArgument(state, 2);
  const base::TimePoint start = scenario.world().Now();
  const auto condition = [&] {
    lua_pushvalue(state, 1);
    if (lua_pcall(state, 0, 1, 0) != LUA_OK) {
      const std::string message = luaL_tolstring(state, -1, nullptr);
      throw ScenarioError(message);
    }
    const bool holds = lua_toboolean(state, -1) != 0;
    lua_pop(state, 1);
    return holds;
  };
  if (!scenario.RunUntil(condition, limit)) {
    throw ScenarioError("the condition did not hold within " +
                        std::to_string(limit.count()) + " ms");
  }
  return Push(state,
              Milliseconds(scenario.world().Now()) - Milliseconds(start));
}

}  // namespace

const std::vector<ScenarioEntry>& HostFunctions() {
  static const std::vector<ScenarioEntry> entries = {
      {"start_hosts", StartHosts},
      {"start_host", StartHost},
      {"kill_host", KillHost},
      {"freeze_host", FreezeHost},
      {"wake_host", WakeHost},
      {"stop_host", StopHost},
      {"isolate_host", IsolateHost},
      {"cut_link", CutLink},
      {"cut_store", CutStore},
      {"message_faults", MessageFaults},
      {"stopped", Stopped},
      {"ready", Ready},
      {"holds_lease", HoldsLease},
      {"version_in_force", VersionInForce},
      {"epoch", Epoch},
      {"hosts", Hosts},
      {"owner_of", OwnerOf},
      {"bucket_owner", BucketOwnerOf},
      {"run_for_ms", RunForMs},
      {"run_until", RunUntil},
  };
  return entries;
}

}  // namespace berylreach::testing
