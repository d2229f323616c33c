// A deployment with a store and hosts that read it, in virtual time and without
// a network.
#pragma once

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "simulated_host.h"
#include "simulated_store.h"
#include "virtual_time.h"

namespace berylreach::forward {

class StoreSimulation {
 public:
  /// `hosts_by_zone` has the number of hosts of each zone. In a zone with more
  /// than four hosts the first two read the store, and the others follow these.
  StoreSimulation(const std::vector<int>& hosts_by_zone,
                  milliseconds max_staleness, HostTimes times = {}) {
    for (int i = 0; i < 9; ++i) store.Put("leaf" + std::to_string(i), "0");
    for (std::size_t zone = 0; zone < hosts_by_zone.size(); ++zone)
      for (int i = 0; i < hosts_by_zone[zone]; ++i)
        AddHost("z" + std::to_string(zone), i, max_staleness, times);
    // The processes start one after the other, so that their periods differ.
    for (std::size_t i = 0; i < hosts.size(); ++i)
      time.After(milliseconds(170 * i), [this, i] { hosts[i]->Start(); });
    time.RunFor(milliseconds(170 * hosts.size()) + seconds(4));
    store.TakeCopy();
  }

  bool AllCurrent() const {
    return std::all_of(hosts.begin(), hosts.end(), [](const auto& host) {
      return !host->running() || host->is_current();
    });
  }

  /// Runs until all hosts are current, for `limit` at most. Returns the time
  /// that it took, or nothing if the limit was reached.
  std::optional<milliseconds> TimeUntilCurrent(milliseconds limit) {
    constexpr milliseconds step{10};
    for (milliseconds waited{0}; waited <= limit; waited += step) {
      if (AllCurrent()) return waited;
      time.RunFor(step);
    }
    return std::nullopt;
  }

  VirtualTime time;
  SimulatedStore store{time};
  std::vector<std::unique_ptr<SimulatedHost>> hosts;

 private:
  void AddHost(const std::string& zone, int index, milliseconds max_staleness,
               HostTimes times) {
    const bool reads_store = index < 2;
    const std::string name =
        zone + (reads_store ? "-reader" : "-follower") + std::to_string(index);
    hosts.push_back(std::make_unique<SimulatedHost>(
        time, store, HostEntry{name, name, zone, reads_store ? 2.0 : 0.5},
        max_staleness, times, [this](const std::string& wanted) {
          const auto found = by_name_.find(wanted);
          return found == by_name_.end() ? nullptr : found->second;
        }));
    by_name_[name] = hosts.back().get();
  }

  std::map<std::string, SimulatedHost*> by_name_;
};

}  // namespace berylreach::forward
