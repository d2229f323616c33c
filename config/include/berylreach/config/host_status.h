// The status that a host reports to operators.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "berylreach/config/parsed.h"
#include "berylreach/model/document_ref.h"
#include "berylreach/model/names.h"

namespace berylreach::config {

/// The answer of a host to `GET /v1/status`.
struct HostStatus {
  model::HostName host;
  std::uint64_t incarnation = 0;
  model::ZoneName zone;
  std::uint64_t epoch = 0;
  /// The document in force on the host.
  model::DocumentRef document;
  /// Whether the host holds a serving lease.
  bool has_lease = false;
  /// Whether a load balancer may send requests to the host.
  bool ready = false;
  /// What the host's program was built from; empty if it does not state it.
  std::string build;

  friend bool operator==(const HostStatus&, const HostStatus&) = default;
};

/// JSON body of a host status. The incarnation is a 16-digit hexadecimal
/// string.
std::string EncodeHostStatus(const HostStatus& status);

/// Parses a body encoded by EncodeHostStatus. Ignores unknown members.
Parsed<HostStatus> ParseHostStatus(std::string_view body);

}  // namespace berylreach::config
