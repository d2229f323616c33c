// Action: the versions that a peer reported.
#pragma once

#include <cstdint>
#include <optional>

#include "berylreach/model/document_ref.h"
#include "berylreach/model/names.h"

namespace berylreach::membership {

/// Versions from a heartbeat or acknowledgement of a current member. The
/// receiver of this action compares them with its own for anti-entropy.
struct PeerVersions {
  model::HostName host;
  model::DocumentRef document;
  std::uint64_t host_list_index = 0;
  std::uint64_t quarantine_digest = 0;
  /// Set in heartbeats only.
  std::optional<std::uint64_t> leaf_states_digest;

  friend bool operator==(const PeerVersions&, const PeerVersions&) = default;
};

}  // namespace berylreach::membership
