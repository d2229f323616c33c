// The versions and digests that the heartbeats of a host carry.
#pragma once

#include <cstdint>

#include "berylreach/model/document_ref.h"

namespace berylreach::membership {

/// Versions that this host reports to its peers for anti-entropy.
struct Versions {
  /// Document in force; version 0 if there is none.
  model::DocumentRef document;
  std::uint64_t host_list_index = 0;
  std::uint64_t quarantine_digest = 0;
  std::uint64_t leaf_states_digest = 0;

  friend bool operator==(const Versions&, const Versions&) = default;
};

}  // namespace berylreach::membership
