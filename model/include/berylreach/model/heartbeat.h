// Heartbeat between a member and its witness.
#pragma once

#include <cstdint>

#include "berylreach/model/document_ref.h"

namespace berylreach::model {

/// Asks a witness to confirm the sender's epoch, and carries versions for
/// anti-entropy.
struct Heartbeat {
  /// Rises with each heartbeat of the sender; echoed by the acknowledgement.
  std::uint64_t sequence = 0;
  /// Incarnation of the sender.
  std::uint64_t incarnation = 0;
  std::uint64_t epoch = 0;
  DocumentRef document;
  std::uint64_t host_list_index = 0;
  /// Digest of the sender's suspect and block table.
  std::uint64_t quarantine_digest = 0;
  /// Digest of the leaf states that the sender owns.
  std::uint64_t leaf_states_digest = 0;

  friend bool operator==(const Heartbeat&, const Heartbeat&) = default;
};

}  // namespace berylreach::model
