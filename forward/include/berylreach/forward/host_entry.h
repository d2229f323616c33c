// Registered properties of a host that may run shards for other hosts.
#pragma once

#include <string>

namespace berylreach::forward {

/// Properties that a host registers for itself.
struct HostEntry {
  std::string name;
  /// "IP:port" at which the host accepts requests of other hosts.
  std::string address;
  std::string zone;
  /// Number of cores that the host may use; may be a fraction.
  double cores = 0;

  friend bool operator==(const HostEntry&, const HostEntry&) = default;
};

}  // namespace berylreach::forward
