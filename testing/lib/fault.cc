// Faults that the fault matrix and random tests inject.
#include "berylreach/testing/fault.h"

#include <algorithm>
#include <chrono>

namespace berylreach::testing {
namespace {

using std::chrono::milliseconds;

void DoNothing(FaultTarget& /*target*/) {}

std::string ZoneOf(const std::string& host) { return host.substr(0, 1); }

/// Starts the target host unless it runs.
void RestartHost(FaultTarget& target) {
  const auto running = target.world.RunningHosts();
  if (std::find(running.begin(), running.end(), target.host) == running.end()) {
    target.world.StartHost(target.host, ZoneOf(target.host));
  }
}

void SetZone(FaultTarget& target, model::ZoneState state) {
  model::Environment environment = target.world.environment();
  for (model::Zone& zone : environment.zones) {
    if (zone.name.value == target.zone) zone.state = state;
  }
  World& world = target.world;
  Invariants& invariants = target.invariants;
  if (state == model::ZoneState::kOutOfService) {
    invariants.OnZoneRemovalStarted(target.zone);
  } else {
    invariants.OnZoneReturnStarted(target.zone);
  }
  // Submit would advance virtual time, which a fault that begins within a
  // scheduled task must not do.
  world.SubmitLater(environment, [&invariants, zone = target.zone,
                                  state](std::uint64_t version) {
    invariants.OnWritten(version);
    if (state == model::ZoneState::kOutOfService)
      invariants.OnZoneRemovalWritten(zone, version);
  });
}

/// Submits two documents at the same time, as two operators.
void SubmitTwice(FaultTarget& target) {
  for (const char* region : {"region-x", "region-y"}) {
    model::Environment environment = target.world.environment();
    environment.zones.front().region = region;
    Invariants& invariants = target.invariants;
    target.world.SubmitRacing(environment,
                              [&invariants](std::uint64_t version) {
                                invariants.OnWritten(version);
                              });
  }
}

void SendKillingRequest(FaultTarget& target) {
  model::CallerRequest request;
  request.kind = model::RequestKind::kQuery;
  request.service = {"order-desk"};
  request.payload = FakeLeaf::kKillingPayload;
  target.world.SendRequest(target.host, request, milliseconds(500));
}

void RestartLeaves(FaultTarget& target) {
  for (const auto& [name, leaf] : target.world.leaves()) {
    if (!leaf->alive()) leaf->Restart();
  }
}

/// A fault of the target leaf that `set` switches on and off.
template <typename Set>
Fault LeafFault(std::string name, Set set) {
  return {
      std::move(name),
      [set](FaultTarget& target) { set(target.world.leaf(target.leaf), true); },
      [set](FaultTarget& target) {
        set(target.world.leaf(target.leaf), false);
      }};
}

/// A fault of the store that `set` switches on and off.
template <typename Set>
Fault StoreFault(std::string name, Set set) {
  return {std::move(name),
          [set](FaultTarget& target) { set(target.world.store(), true); },
          [set](FaultTarget& target) { set(target.world.store(), false); }};
}

std::vector<Fault> HostFaults() {
  return {
      {"kill_host",
       [](FaultTarget& target) { target.world.KillHost(target.host); },
       RestartHost},
      {"kill_other_host",
       [](FaultTarget& target) { target.world.KillHost(target.other_host); },
       [](FaultTarget& target) {
         FaultTarget other = target;
         other.host = target.other_host;
         RestartHost(other);
       }},
      {"stop_host",
       [](FaultTarget& target) { target.world.StopHost(target.host); },
       [](FaultTarget& target) {
         if (target.world.Stopped(target.host))
           target.world.KillHost(target.host);
         RestartHost(target);
       }},
      {"freeze_host",
       [](FaultTarget& target) { target.world.FreezeHost(target.host); },
       [](FaultTarget& target) { target.world.WakeHost(target.host); }},
      {"isolate_host",
       [](FaultTarget& target) { target.world.SetIsolated(target.host, true); },
       [](FaultTarget& target) {
         target.world.SetIsolated(target.host, false);
       }},
      {"cut_link",
       [](FaultTarget& target) {
         target.world.SetLink(target.host, target.other_host, false);
       },
       [](FaultTarget& target) {
         target.world.SetLink(target.host, target.other_host, true);
       }},
      {"cut_from_store",
       [](FaultTarget& target) {
         target.world.SetStoreReachable(target.host, false);
       },
       [](FaultTarget& target) {
         target.world.SetStoreReachable(target.host, true);
       }},
      {"lossy_network",
       [](FaultTarget& target) { target.world.SetMessageFaults(0.2, 0.1); },
       [](FaultTarget& target) { target.world.SetMessageFaults(0, 0); }},
  };
}

std::vector<Fault> StoreFaults() {
  return {
      StoreFault("store_down",
                 [](FakeStore& store, bool on) { store.SetDown(on); }),
      StoreFault("store_slow",
                 [](FakeStore& store, bool on) {
                   store.SetDelay(milliseconds(on ? 700 : 2));
                 }),
      StoreFault("store_loses_answers",
                 [](FakeStore& store, bool on) {
                   store.SetLoseResponses(on ? 0.5 : 0);
                 }),
      StoreFault(
          "store_late_writes",
          [](FakeStore& store, bool on) { store.SetLateWrites(on ? 0.5 : 0); }),
      StoreFault("store_stale_reads",
                 [](FakeStore& store, bool on) { store.SetStaleReads(on); }),
  };
}

std::vector<Fault> LeafFaults() {
  return {
      {"kill_leaf",
       [](FaultTarget& target) { target.world.leaf(target.leaf).Kill(); },
       RestartLeaves},
      {"leaf_cold",
       [](FaultTarget& target) {
         target.world.leaf(target.leaf).Kill();
         target.world.leaf(target.leaf).Restart();
       },
       DoNothing},
      LeafFault("leaf_silent",
                [](FakeLeaf& leaf, bool on) { leaf.SetSilent(on); }),
      LeafFault("leaf_sheds",
                [](FakeLeaf& leaf, bool on) { leaf.SetShedding(on); }),
      LeafFault("leaf_drains",
                [](FakeLeaf& leaf, bool on) { leaf.SetDraining(on); }),
      LeafFault("leaf_crosses_answers",
                [](FakeLeaf& leaf, bool on) { leaf.SetSwapsAnswers(on); }),
      LeafFault("leaf_slow",
                [](FakeLeaf& leaf, bool on) {
                  leaf.SetServiceTime(milliseconds(on ? 200 : 10));
                }),
      {"leaf_leaves",
       [](FaultTarget& target) {
         target.world.SetLeaving({target.leaf});
         target.invariants.OnLeaving(target.leaf);
       },
       [](FaultTarget& target) {
         target.world.SetLeaving({});
         target.invariants.OnReturned(target.leaf);
       }},
      {"version_change",
       [](FaultTarget& target) {
         target.world.PublishVersion("order-desk", 2, 4, false);
       },
       DoNothing},
      {"repartition",
       [](FaultTarget& target) {
         target.world.PublishVersion("order-desk", 3, 2, true);
       },
       [](FaultTarget& target) {
         target.world.PublishVersion("order-desk", 3, 2, false);
       }},
      {"killing_request", SendKillingRequest, RestartLeaves},
  };
}

std::vector<Fault> OperatorFaults() {
  return {
      {"zone_out",
       [](FaultTarget& target) {
         SetZone(target, model::ZoneState::kOutOfService);
       },
       [](FaultTarget& target) {
         SetZone(target, model::ZoneState::kInService);
       }},
      {"two_operators", SubmitTwice, DoNothing},
  };
}

}  // namespace

const std::vector<Fault>& AllFaults() {
  static const std::vector<Fault>* faults = [] {
    auto* all = new std::vector<Fault>;
    for (const auto& group :
         {HostFaults(), StoreFaults(), LeafFaults(), OperatorFaults()}) {
      all->insert(all->end(), group.begin(), group.end());
    }
    return all;
  }();
  return *faults;
}

const Fault* FindFault(const std::string& name) {
  const auto& faults = AllFaults();
  const auto found =
      std::find_if(faults.begin(), faults.end(),
                   [&](const Fault& fault) { return fault.name == name; });
  return found == faults.end() ? nullptr : &*found;
}

}  // namespace berylreach::testing
