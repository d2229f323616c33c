// Rebuilding of replica indexes on change.
#include "berylreach/routing/replica_index_cache.h"

namespace berylreach::routing {

const ReplicaIndex& ReplicaIndexCache::Get(
    const model::Environment& environment, std::uint64_t document_version,
    const model::ServiceName& service, const LeafTable& table) {
  const auto [position, added] = entries_.try_emplace(service);
  Entry& entry = position->second;
  const bool current =
      !added && entry.document_version == document_version &&
      entry.revision == table.revision() &&
      (!entry.evidence_expiry || clock_.Now() < *entry.evidence_expiry);
  if (current) return entry.index;
  entry.document_version = document_version;
  entry.revision = table.revision();
  entry.evidence_expiry = table.NextEvidenceExpiry();
  entry.index = ReplicaIndex(environment, service, table);
  return entry.index;
}

}  // namespace berylreach::routing
