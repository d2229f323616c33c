// Puts a document into the head record of an environment.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "berylreach/berylctl/environment_store.h"
#include "berylreach/berylctl/result.h"
#include "berylreach/berylctl/runtime.h"
#include "berylreach/config/document_parts.h"
#include "berylreach/model/document_entry.h"
#include "berylreach/model/document_ref.h"

namespace berylreach::berylctl {

/// What to write and on which version it is based.
struct Proposal {
  config::DocumentParts parts;
  /// The version that the operator has seen; the one in force if absent.
  std::optional<std::uint64_t> base_version;
  std::string author;
  std::string note;
};

/// Writes one document. Racing operators and lost answers are resolved here.
class DocumentWriter {
 public:
  /// `limit` bounds the time spent on the head record.
  DocumentWriter(EnvironmentStore& store, Runtime& runtime,
                 base::Duration limit);

  /// Returns the accepted document. A document that is already in force is not
  /// written again. Fails with kConflict and the difference if another document
  /// came after the base version, and with kStoreUnreachable if the store does
  /// not answer in time; the message then says whether the document may have
  /// been accepted.
  Result<model::DocumentRef> Write(const Proposal& proposal);

 private:
  /// Ends with kFindings if the document gives a leaf of the document in force
  /// another zone.
  Result<void> RefuseMovedLeaves(const model::DocumentRef& current,
                                 const Proposal& proposal);
  Result<model::DocumentRef> SwapUntilDecided(const Proposal& proposal,
                                              Head head, std::uint64_t base);
  /// The head record with the document on top; draws the nonce.
  model::HeadRecord Next(const Head& head, const model::DocumentEntry& entry);
  Failure Conflict(std::uint64_t base, const model::HeadRecord& now);

  EnvironmentStore& store_;
  Runtime& runtime_;
  base::Duration limit_;
};

}  // namespace berylreach::berylctl
