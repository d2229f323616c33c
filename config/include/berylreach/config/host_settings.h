// Process settings of an entry host.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "berylreach/config/host_limits.h"
#include "berylreach/config/parsed.h"
#include "berylreach/model/names.h"

namespace berylreach::config {

/// What a host process learns at its start. All addresses have the form
/// "IP:port".
struct HostSettings {
  model::HostName host;
  /// Key prefix in the store, such as "trial" or "production".
  std::string environment;
  model::ZoneName zone;
  /// Address for callers and operators. Port 0 takes any free port. Other
  /// hosts and operators connect to the bound address, so that the unspecified
  /// address (0.0.0.0 or ::) is not allowed.
  std::string http_listen;
  /// Address for other hosts, under the same rules.
  std::string rpc_listen;
  std::string store_address;
  std::string host_list_address;
  HostLimits limits;

  friend bool operator==(const HostSettings&, const HostSettings&) = default;
};

/// Parses `{"host","environment","zone","http_listen","rpc_listen",
/// "store_address","host_list_address","limits":{...}}`. `limits` and each of
/// its members may be left out.
Parsed<HostSettings> ParseHostSettings(std::string_view bytes);

/// Why a host cannot listen on `text` as `http_listen` or `rpc_listen`; nothing
/// if it can.
std::optional<std::string> FaultOfListenAddress(std::string_view text);

}  // namespace berylreach::config
