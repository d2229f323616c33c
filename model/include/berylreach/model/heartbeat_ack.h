// The acknowledgement of a heartbeat.
#pragma once

#include <cstdint>

#include "berylreach/model/document_ref.h"

namespace berylreach::model {

/// A witness's reply to a heartbeat. It counts towards the serving lease of the
/// host that sent the heartbeat only if `granted` is true, both hosts are at
/// the same epoch and the document of that host is at least as new as
/// `document`.
struct HeartbeatAck {
  /// Sequence number of the acknowledged heartbeat.
  std::uint64_t sequence = 0;
  /// Incarnation of the witness.
  std::uint64_t incarnation = 0;
  std::uint64_t epoch = 0;
  /// True if the witness knows the sender of the heartbeat as a member and is
  /// at the same epoch.
  bool granted = false;
  DocumentRef document;
  std::uint64_t host_list_index = 0;
  std::uint64_t quarantine_digest = 0;

  friend bool operator==(const HeartbeatAck&, const HeartbeatAck&) = default;
};

}  // namespace berylreach::model
