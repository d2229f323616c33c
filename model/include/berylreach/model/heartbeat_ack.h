// The acknowledgement of a heartbeat.
#pragma once

#include <cstdint>

#include "berylreach/model/document_ref.h"

namespace berylreach::model {

/// A witness's reply to a heartbeat. It counts towards the receiver's lease
/// only if `granted` is true, the epochs are equal and the receiver's document
/// is at least as new as `document`.
struct HeartbeatAck {
  std::uint64_t sequence = 0;
  /// Incarnation of the witness.
  std::uint64_t incarnation = 0;
  std::uint64_t epoch = 0;
  bool granted = false;
  DocumentRef document;
  std::uint64_t host_list_index = 0;
  std::uint64_t quarantine_digest = 0;

  friend bool operator==(const HeartbeatAck&, const HeartbeatAck&) = default;
};

}  // namespace berylreach::model
