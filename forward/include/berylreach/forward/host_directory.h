// The registered hosts of the deployment.
#pragma once

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "berylreach/base/clock.h"
#include "berylreach/forward/host_entry.h"
#include "berylreach/forward/store_return_grace.h"

namespace berylreach::forward {

/// Holds the entries of the registered hosts. While the store is unreachable
/// and for kStoreReturnGrace afterwards, hosts whose entries vanish are kept:
/// their leases may have expired although they run. Without them, each host
/// would take a larger share of limits that apply to all hosts together; too
/// many hosts only make the shares smaller. Not thread-safe.
class HostDirectory {
 public:
  /// Time within which running hosts have registered again after the store is
  /// reachable again: a renewal that finds no lease, and two calls.
  static constexpr std::chrono::milliseconds kStoreReturnGrace{6000};

  explicit HostDirectory(const base::Clock& clock)
      : grace_(clock, kStoreReturnGrace) {}

  void Put(HostEntry entry);
  void Remove(const std::string& name);
  /// Applies a complete listing; hosts that are not in it are removed.
  void Replace(std::vector<HostEntry> entries);

  /// Record that the store became unreachable, or reachable again.
  void OnStoreLost() { grace_.OnStoreLost(); }
  void OnStoreRegained() { grace_.OnStoreRegained(); }
  /// Records that the store has come back from an older copy of itself, without
  /// the leases granted since.
  void OnStoreRestored() { grace_.OnStoreRestored(); }
  /// Removes hosts whose entries have vanished, once the grace period is over.
  /// Returns whether there were any.
  bool Tick();

  std::vector<HostEntry> Hosts() const;

 private:
  struct Host {
    HostEntry entry;
    /// The store no longer lists the host.
    bool vanished = false;
  };

  std::map<std::string, Host> hosts_;
  StoreReturnGrace grace_;
};

}  // namespace berylreach::forward
