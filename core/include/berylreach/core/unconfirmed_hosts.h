// Members that may have failed although they have not been removed yet.
#pragma once

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

#include "berylreach/model/names.h"

namespace berylreach::core {

/// Members that may have failed: their connection was refused or reset, or they
/// have sent no heartbeat for too long. Not thread-safe.
class UnconfirmedHosts {
 public:
  /// Records that the connection to `host` ended and could not be reopened.
  void OnDisconnected(const model::HostName& host) {
    disconnected_.insert(host);
  }

  /// Records that a message from `host` has arrived, or that `host` was removed
  /// or replaced by a new incarnation.
  void Clear(const model::HostName& host) {
    if (!disconnected_.empty()) disconnected_.erase(host);
  }

  /// Replaces the hosts that have sent no heartbeat for too long.
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
