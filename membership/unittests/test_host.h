// A simulated host: a Membership with its clock, owned leaves and running work.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "berylreach/base/manual_clock.h"
#include "berylreach/base/rendezvous.h"
#include "berylreach/membership/membership.h"
#include "berylreach/model/names.h"

namespace berylreach::membership {

/// Work on a leaf ends by the clock of this host, at the latest when its lease
/// expires.
struct TestHost {
  TestHost(int number, std::uint64_t incarnation)
      : name{"host" + std::to_string(number)},
        incarnation(incarnation),
        membership(std::make_unique<Membership>(
            clock, model::Member{name, incarnation, {"zone"}, "rpc", "http"})) {
  }

  /// Handles a change of epoch as HostCore does.
  void OnHeadChanged(const std::vector<model::LeafName>& leaves, Actions& out) {
    owned.clear();
    for (const model::LeafName& leaf : leaves) {
      if (OwnerOf(leaf) == name) owned.push_back(leaf);
    }
    const std::uint64_t epoch = membership->epoch();
    if (membership->is_member()) membership->SetOwnedLeaves(epoch, owned, out);
    ReportHeld(out);
  }

  void ReportHeld(Actions& out) {
    std::erase_if(work,
                  [&](const auto& item) { return item.second <= clock.Now(); });
    std::vector<model::LeafName> held_leaves;
    for (const auto& [leaf, end] : work) {
      if (std::find(owned.begin(), owned.end(), leaf) == owned.end()) {
        held_leaves.push_back(leaf);
      }
    }
    membership->SetHeldLeaves(membership->epoch(), held_leaves, out);
  }

  bool MayWork(const model::LeafName& leaf) const {
    return alive && membership->HoldsLease() &&
           membership->TakeoverComplete(leaf);
  }

  bool IsWorking(const model::LeafName& leaf) const {
    const auto found = work.find(leaf);
    return alive && found != work.end() && found->second > clock.Now();
  }

  void StartWork(const model::LeafName& leaf, base::Duration length) {
    if (!MayWork(leaf)) return;
    base::TimePoint& end = work[leaf];
    end = std::max(end,
                   std::min(clock.Now() + length, membership->LeaseExpiry()));
  }

  model::HostName OwnerOf(const model::LeafName& leaf) const {
    model::HostName owner;
    std::uint64_t best = 0;
    for (const model::Member& member : membership->members()) {
      const auto weight = base::RendezvousWeight(leaf.value, member.host.value);
      if (weight < best) continue;
      best = weight;
      owner = member.host;
    }
    return owner;
  }

  base::ManualClock clock;
  model::HostName name;
  std::uint64_t incarnation;
  std::unique_ptr<Membership> membership;
  std::vector<model::LeafName> owned;
  /// End of the running work on each leaf.
  std::map<model::LeafName, base::TimePoint> work;
  bool alive = true;
  /// The process is suspended; messages to it and answers of the store are
  /// delivered once it resumes.
  bool suspended = false;
  /// Speed of the host's clock relative to the simulation.
  double clock_rate = 1;
  /// Hosts of different partitions cannot reach each other.
  int partition = 0;
};

}  // namespace berylreach::membership
