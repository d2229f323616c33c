// The owners of all leaves at one epoch and document.
#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "berylreach/model/environment.h"
#include "berylreach/model/member.h"
#include "berylreach/model/names.h"

namespace berylreach::routing {

/// Caches OwnerOf for every leaf of one document and one set of members. A new
/// table must be built when the epoch or the document changes.
class OwnershipTable {
 public:
  /// An empty table: no leaf has an owner.
  OwnershipTable() = default;
  OwnershipTable(std::uint64_t epoch, std::uint64_t document_version,
                 const model::Environment& environment,
                 const std::vector<model::Member>& members);

  std::uint64_t epoch() const { return epoch_; }
  std::uint64_t document_version() const { return document_version_; }

  /// Returns the owner of `leaf`; null if it has none. The pointer is valid for
  /// the lifetime of the table.
  const model::HostName* Owner(const model::LeafName& leaf) const;

  /// Returns the leaves that `host` owns, in the order of the document.
  std::vector<model::LeafName> OwnedBy(const model::HostName& host) const;

 private:
  std::uint64_t epoch_ = 0;
  std::uint64_t document_version_ = 0;
  std::vector<model::LeafName> leaves_;
  std::unordered_map<model::LeafName, model::HostName> owners_;
};

}  // namespace berylreach::routing
