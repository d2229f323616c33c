// The membership record in the store.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "berylreach/model/document_entry.h"
#include "berylreach/model/document_ref.h"
#include "berylreach/model/member.h"
#include "berylreach/model/removed_host.h"

namespace berylreach::model {

/// Maximum number of entries in `HeadRecord::history`; older entries are
/// dropped.
inline constexpr std::size_t kMaxHistoryEntries = 50;

/// The membership record of an environment: the value of the store key
/// `<environment>/head`.
struct HeadRecord {
  /// Increases with each change of `members`.
  std::uint64_t epoch = 0;
  /// Random number drawn for each write. If the answer to a write is lost, the
  /// writer reads the record back and recognizes its own write by the nonce.
  std::uint64_t nonce = 0;
  /// Name of the host or operator that wrote the record.
  std::string writer;
  std::vector<Member> members;
  /// Former members whose processes, or whose calls on leaves, may still be
  /// running.
  std::vector<RemovedHost> removed_hosts;
  DocumentRef document;
  /// Accepted documents, oldest first.
  std::vector<DocumentEntry> history;

  friend bool operator==(const HeadRecord&, const HeadRecord&) = default;
};

}  // namespace berylreach::model
