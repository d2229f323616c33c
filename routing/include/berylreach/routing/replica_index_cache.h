// Cache of the replica indexes of all services.
#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>

#include "berylreach/base/clock.h"
#include "berylreach/model/environment.h"
#include "berylreach/routing/leaf_table.h"
#include "berylreach/routing/replica_index.h"

namespace berylreach::routing {

/// Holds one index per service. Get rebuilds the index if the document version
/// or the revision of the leaf table has changed, or if evidence has expired.
class ReplicaIndexCache {
 public:
  explicit ReplicaIndexCache(const base::Clock& clock) : clock_(clock) {}

  /// Returns the current index of `service`. The reference is valid until the
  /// next call.
  const ReplicaIndex& Get(const model::Environment& environment,
                          std::uint64_t document_version,
                          const model::ServiceName& service,
                          const LeafTable& table);

 private:
  struct Entry {
    std::uint64_t document_version = 0;
    std::uint64_t revision = 0;
    std::optional<base::TimePoint> evidence_expiry;
    ReplicaIndex index;
  };

  const base::Clock& clock_;
  std::unordered_map<model::ServiceName, Entry> entries_;
};

}  // namespace berylreach::routing
