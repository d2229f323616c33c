// Process settings of a host.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "berylreach/config/host_limits.h"
#include "berylreach/config/parsed.h"
#include "berylreach/model/names.h"

namespace berylreach::config {

/// Settings that a host process reads when it starts. All addresses have the
/// form "IP:port".
struct HostSettings {
  model::HostName host;
  /// Key prefix in the store, such as "trial" or "production".
  std::string environment;
  model::ZoneName zone;
  /// Address on which the host listens for callers and operators. Port 0 means
  /// any free port. The unspecified address (0.0.0.0 or ::) is not allowed,
  /// because other hosts and operators connect to the bound address.
  std::string http_listen;
  /// Address on which the host listens for other hosts; the same rules apply as
  /// for `http_listen`.
  std::string rpc_listen;
  /// Address of the platform's key-value store.
  std::string store_address;
  /// Address of the platform service that publishes the host list.
  std::string host_list_address;
  HostLimits limits;

  friend bool operator==(const HostSettings&, const HostSettings&) = default;
};

/// Parses the JSON object `{"host","environment","zone","http_listen",
/// "rpc_listen","store_address","host_list_address","limits":{...}}`. `limits`
/// and each of its members are optional.
Parsed<HostSettings> ParseHostSettings(std::string_view bytes);

/// Checks `text` as a value of `http_listen` or `rpc_listen`. Returns the
/// message of a finding, or nullopt if the address is valid.
std::optional<std::string> CheckListenAddress(std::string_view text);

}  // namespace berylreach::config
