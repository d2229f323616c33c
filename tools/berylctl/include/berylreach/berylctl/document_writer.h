// Writes a document to the store and makes it the current one in the head
// record of an environment.
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

/// A document to write, and the version that it replaces.
struct Proposal {
  config::DocumentParts parts;
  /// The version that the operator started from; the current one if absent.
  std::optional<std::uint64_t> base_version;
  std::string author;
  std::string note;
};

/// Writes documents, and resolves races with other operators and lost responses
/// of the store.
class DocumentWriter {
 public:
  /// `timeout` bounds the time spent on updating the head record.
  DocumentWriter(EnvironmentStore& store, Runtime& runtime,
                 base::Duration timeout);

  /// Writes the document and returns its version and hash. Returns those of the
  /// current document, without a write, if it is the same. Fails with kConflict
  /// and the changes if another document has replaced the base version, with
  /// kFindings if a leaf would change its zone, and with kStoreUnreachable if
  /// the outcome is not known in time; the message then says whether the
  /// document may have been accepted.
  Result<model::DocumentRef> Write(const Proposal& proposal);

 private:
  /// Fails with kFindings if the proposal changes the zone of a leaf of the
  /// current document.
  Result<void> RejectMovedLeaves(const model::DocumentRef& current,
                                 const Proposal& proposal);
  /// Repeats the compare-and-swap of the head record until the document is
  /// accepted, another one has replaced the base version, or time is up.
  Result<model::DocumentRef> SwapHeadUntilResolved(const Proposal& proposal,
                                                   Head head,
                                                   std::uint64_t base);
  /// Returns the head record that replaces `head`, with `entry` as the current
  /// document and a new random nonce.
  model::HeadRecord NextHeadRecord(const Head& head,
                                   const model::DocumentEntry& entry);
  /// Returns a kConflict with the changes from the base version to the document
  /// of the head record `current`.
  Failure ConflictFailure(std::uint64_t base, const model::HeadRecord& current);

  EnvironmentStore& store_;
  Runtime& runtime_;
  base::Duration timeout_;
};

}  // namespace berylreach::berylctl
