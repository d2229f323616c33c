// A host that may run shards for other hosts.
#pragma once

#include <string>

namespace berylreach::forward {

/// What a host registers of itself.
struct HostEntry {
  std::string name;
  /// "IP:port" for requests of other hosts.
  std::string address;
  std::string zone;
  /// Part of a core that the host may use.
  double cores = 0;

  friend bool operator==(const HostEntry&, const HostEntry&) = default;
};

}  // namespace berylreach::forward
