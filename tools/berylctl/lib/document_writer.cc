// Writes a document to the store and makes it the current one in the head
// record of an environment.
#include "berylreach/berylctl/document_writer.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "berylreach/config/document.h"
#include "berylreach/config/document_diff.h"
#include "berylreach/config/document_parts.h"

namespace berylreach::berylctl {
namespace {

constexpr std::chrono::milliseconds kRetryDelay{200};

/// Whether `record` includes the write of `entry` with `nonce`. A host may have
/// changed the members after that write, which replaces the nonce but keeps the
/// history.
bool ContainsWrite(const model::HeadRecord& record, std::uint64_t nonce,
                   const model::DocumentEntry& entry) {
  if (record.nonce == nonce) return true;
  return std::find(record.history.begin(), record.history.end(), entry) !=
         record.history.end();
}

/// Whether the zone of a leaf changes. A leaf in another zone has another
/// owner, and hosts would adopt the new owner at different times within one
/// epoch, thus without the wait of a takeover.
bool ChangesLeafZone(const config::DocumentChange& change) {
  return change.kind == config::ChangeKind::kChanged &&
         change.subject.starts_with("services/") &&
         change.subject.ends_with("/zone");
}

std::optional<model::Environment> ParseParts(
    const config::DocumentParts& parts) {
  std::vector<std::string> bytes;
  for (const auto& part : parts.parts) bytes.push_back(part.bytes);
  const auto document = config::AssembleDocument(parts.manifest.bytes, bytes);
  if (!document.value) return std::nullopt;
  return config::ParseDocument(*document.value).value;
}

Failure UnresolvedWriteFailure(bool may_be_accepted) {
  return {ExitCode::kStoreUnreachable,
          may_be_accepted
              ? "the store does not answer; the document may or may not have "
                "been accepted, see the history"
              : "the store does not accept the head record; the document was "
                "not accepted"};
}

}  // namespace

DocumentWriter::DocumentWriter(EnvironmentStore& store, Runtime& runtime,
                               base::Duration timeout)
    : store_(store), runtime_(runtime), timeout_(timeout) {}

Result<model::DocumentRef> DocumentWriter::Write(const Proposal& proposal) {
  BOOST_OUTCOME_TRY(auto head, store_.ReadHead());
  const model::DocumentRef& current = head.record.document;
  if (current.hash == proposal.parts.manifest.hash) return current;
  const std::uint64_t base = proposal.base_version.value_or(current.version);
  if (current.version != base) return ConflictFailure(base, head.record);
  BOOST_OUTCOME_TRY(RejectMovedLeaves(current, proposal));
  BOOST_OUTCOME_TRY(store_.WriteParts(proposal.parts));
  return SwapHeadUntilResolved(proposal, std::move(head), base);
}

Result<void> DocumentWriter::RejectMovedLeaves(
    const model::DocumentRef& current, const Proposal& proposal) {
  if (current.version == 0) return boost::outcome_v2::success();
  const auto before = store_.ReadDocument(current.hash);
  const auto after = ParseParts(proposal.parts);
  // A damaged current document must not prevent its replacement.
  if (!before || !after) return boost::outcome_v2::success();
  Failure failure{ExitCode::kFindings, "the document moves leaves", {}};
  for (const auto& change :
       config::DiffDocuments(before.assume_value(), *after)) {
    if (!ChangesLeafZone(change)) continue;
    failure.findings.push_back(
        {change.location,
         "a leaf cannot move to another zone; remove it in one document and "
         "add it in the next"});
  }
  if (failure.findings.empty()) return boost::outcome_v2::success();
  return failure;
}

Result<model::DocumentRef> DocumentWriter::SwapHeadUntilResolved(
    const Proposal& proposal, Head head, std::uint64_t base) {
  const base::TimePoint deadline = runtime_.clock.Now() + timeout_;
  const model::DocumentEntry entry{
      {base + 1, proposal.parts.manifest.hash},
      proposal.author,
      std::chrono::floor<std::chrono::milliseconds>(runtime_.clock.WallNow()),
      proposal.note};
  bool may_be_accepted = false;
  while (runtime_.clock.Now() < deadline) {
    const model::HeadRecord next = NextHeadRecord(head, entry);
    const SwapOutcome outcome = store_.SwapHead(next, head.revision);
    if (outcome == SwapOutcome::kApplied) return entry.document;
    if (outcome == SwapOutcome::kUnknown) may_be_accepted = true;
    const auto read = store_.ReadHead();
    if (read && ContainsWrite(read.assume_value().record, next.nonce, entry))
      return entry.document;
    if (read && read.assume_value().record.document.version > base)
      return ConflictFailure(base, read.assume_value().record);
    // An older revision is a stale read; a compare-and-swap on it would fail.
    if (read && read.assume_value().revision > head.revision)
      head = read.assume_value();
    else
      runtime_.sleep(kRetryDelay);
  }
  return UnresolvedWriteFailure(may_be_accepted);
}

model::HeadRecord DocumentWriter::NextHeadRecord(
    const Head& head, const model::DocumentEntry& entry) {
  model::HeadRecord next = head.record;
  next.nonce = runtime_.random();
  next.writer = entry.author;
  next.document = entry.document;
  next.history.push_back(entry);
  if (next.history.size() > model::kMaxHistoryEntries)
    next.history.erase(next.history.begin(),
                       next.history.end() - model::kMaxHistoryEntries);
  return next;
}

Failure DocumentWriter::ConflictFailure(std::uint64_t base,
                                        const model::HeadRecord& current) {
  Failure failure{ExitCode::kConflict,
                  "version " + std::to_string(current.document.version) +
                      " is in force, but the document is based on version " +
                      std::to_string(base)};
  std::string base_hash;
  for (const model::DocumentEntry& entry : current.history) {
    if (entry.document.version == base) base_hash = entry.document.hash;
  }
  if (base != 0 && base_hash.empty()) {
    failure.message += ", which is not in the history";
    return failure;
  }
  const auto before = store_.ReadDocument(base_hash);
  const auto after = store_.ReadDocument(current.document.hash);
  if (before && after)
    failure.changes =
        config::DiffDocuments(before.assume_value(), after.assume_value());
  else
    failure.message += "; the difference cannot be read";
  return failure;
}

}  // namespace berylreach::berylctl
