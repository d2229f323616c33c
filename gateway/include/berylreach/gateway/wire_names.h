// Header field names of the deployment's protocol.
#pragma once

#include <string>
#include <vector>

namespace berylreach::gateway {

/// Names of the header fields, which the deployment defines. The gateway itself
/// depends only on their meaning.
struct WireNames {
  /// Id of a caller's attempt; leaves echo it in their responses.
  std::string request_id;
  /// Fields that identify the caller.
  std::vector<std::string> caller;
  /// The key of a caller's tenant. If the configuration has tenants, the field
  /// is never forwarded.
  std::string api_key;
  /// Name of the tenant, which hosts tell leaves and each other.
  std::string tenant;
  /// Time in milliseconds that the sender waits for the response.
  std::string caller_timeout;
  /// Id of the only leaf incarnation that may run the call.
  std::string expected_leaf;
  /// Id of the leaf incarnation that answers a health check.
  std::string leaf_id;
  /// A leaf's signature of its response.
  std::string signature;
  /// Present if the leaf did not run the call.
  std::string not_run;
  /// Present if the leaf is leaving.
  std::string leaving;
  /// Calls per second that the leaf accepts from all hosts together.
  std::string rate_limit;
  /// Signatures of the responses that were merged.
  std::string part_signatures;
  /// Number of shards missing from a merged response.
  std::string missing_parts;
};

}  // namespace berylreach::gateway
