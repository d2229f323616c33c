// What the status of a response that a host reads means.
#pragma once

namespace berylreach::gateway {

enum class StatusKind {
  /// The final response follows.
  kInterim,
  kFinal,
  /// Not a status that can answer a request of this host. Whether the request
  /// has run is not known.
  kInvalid,
};

/// Classifies a status of three digits. Valid are 100 to 599, except 101: it
/// confirms a change of protocol, which no host asks for.
constexpr StatusKind ClassifyStatus(int status) {
  constexpr int switching_protocols = 101;
  if (status < 100 || status > 599 || status == switching_protocols)
    return StatusKind::kInvalid;
  return status < 200 ? StatusKind::kInterim : StatusKind::kFinal;
}

}  // namespace berylreach::gateway
