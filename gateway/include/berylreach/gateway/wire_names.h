// Names of the header fields that the deployment's protocol uses.
#pragma once

#include <string>
#include <vector>

namespace berylreach::gateway {

/// Header field names, as the adapter of the deployment spells them. The
/// gateway itself knows only their meaning.
struct WireNames {
  /// Id of a caller's attempt; leaves echo it.
  std::string request_id;
  /// Fields that name the caller.
  std::vector<std::string> caller;
  /// Milliseconds that the sender waits.
  std::string caller_timeout;
  /// Id of the leaf incarnation that may run a call.
  std::string expected_leaf;
  /// A leaf's signature of its answer.
  std::string signature;
  /// Present if the leaf did not run the call.
  std::string not_run;
  /// Present if the leaf is leaving.
  std::string leaving;
  /// Signatures of the merged parts.
  std::string part_signatures;
  /// Number of shards that are not in a merged answer.
  std::string missing_parts;
};

}  // namespace berylreach::gateway
