// The heartbeat that a member sends to its witnesses.
#pragma once

#include <cstdint>

#include "berylreach/model/document_ref.h"

namespace berylreach::model {

/// Asks a witness to confirm the sender's epoch. The versions and digests are
/// for anti-entropy: the receiver compares them with its own to detect that one
/// of the two hosts has older data.
struct Heartbeat {
  /// Increases with each heartbeat of the sender; echoed by the
  /// acknowledgement.
  std::uint64_t sequence = 0;
  /// Incarnation of the sender.
  std::uint64_t incarnation = 0;
  std::uint64_t epoch = 0;
  DocumentRef document;
  std::uint64_t host_list_index = 0;
  /// Digest of the sender's quarantine table (suspect and blocked
  /// fingerprints).
  std::uint64_t quarantine_digest = 0;
  /// Digest of the states of the leaves that the sender owns.
  std::uint64_t leaf_states_digest = 0;

  friend bool operator==(const Heartbeat&, const Heartbeat&) = default;
};

}  // namespace berylreach::model
