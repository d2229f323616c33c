// Evidence that other hosts may be gone.
#pragma once

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

#include "berylreach/model/names.h"

namespace berylreach::core {

/// Hosts that are members but may be gone: their connection was refused or
/// reset, or they have been silent. Not thread-safe.
class UnconfirmedHosts {
 public:
  /// The connection to `host` ended and could not be opened again.
  void OnDisconnected(const model::HostName& host) {
    disconnected_.insert(host);
  }

  /// A message of `host` has arrived, or a new incarnation replaced it.
  void OnConfirmed(const model::HostName& host) {
    if (!disconnected_.empty()) disconnected_.erase(host);
  }

  /// Replaces the hosts that have been silent for too long.
  void SetSilent(std::vector<model::HostName> silent) {
    silent_ = std::move(silent);
  }

  bool empty() const { return disconnected_.empty() && silent_.empty(); }

  bool Contains(const model::HostName& host) const {
    return disconnected_.contains(host) ||
           std::find(silent_.begin(), silent_.end(), host) != silent_.end();
  }

 private:
  std::set<model::HostName> disconnected_;
  std::vector<model::HostName> silent_;
};

}  // namespace berylreach::core
