// The membership record in the store.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "berylreach/model/departed.h"
#include "berylreach/model/document_entry.h"
#include "berylreach/model/document_ref.h"
#include "berylreach/model/member.h"

namespace berylreach::model {

/// Most entries of `HeadRecord::history`; older ones are dropped.
inline constexpr std::size_t kMaxHistoryEntries = 50;

/// Value of the store key `<environment>/head`.
struct HeadRecord {
  /// Rises with each change of `members`.
  std::uint64_t epoch = 0;
  /// Drawn anew for each write, so that a lost answer can be resolved by
  /// reading back.
  std::uint64_t nonce = 0;
  /// Host or operator that wrote the record.
  std::string writer;
  std::vector<Member> members;
  /// Removed hosts that may still be running.
  std::vector<Departed> departed;
  DocumentRef document;
  /// Accepted documents, newest last.
  std::vector<DocumentEntry> history;

  friend bool operator==(const HeadRecord&, const HeadRecord&) = default;
};

}  // namespace berylreach::model
