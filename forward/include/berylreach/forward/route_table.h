// Finds the route of a request.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "berylreach/forward/configuration.h"

namespace berylreach::forward {

/// Index of one configuration by host name and prefix. Immutable, so that a
/// running request keeps the version that it started with.
class RouteTable {
 public:
  explicit RouteTable(Configuration configuration);

  /// The route with the longest prefix of `path` among those of `host`; null
  /// if there is none. `host` is compared without case and without a port.
  const Route* Find(std::string_view host, std::string_view path) const;

  /// Null if the configuration does not have the service.
  const Service* FindService(const std::string& name) const;

  const Configuration& configuration() const { return configuration_; }

 private:
  Configuration configuration_;
  /// Positions in configuration_.routes by lower-case host, longest prefix
  /// first.
  std::unordered_map<std::string, std::vector<std::size_t>> by_host_;
  /// Positions in configuration_.services.
  std::unordered_map<std::string, std::size_t> by_service_;
};

}  // namespace berylreach::forward
