// Access to the head record and the documents of one environment in the store.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "berylreach/berylctl/result.h"
#include "berylreach/berylctl/store_client.h"
#include "berylreach/config/document_parts.h"
#include "berylreach/model/environment.h"
#include "berylreach/model/head_record.h"

namespace berylreach::berylctl {

/// A snapshot of the head record.
struct Head {
  model::HeadRecord record;
  /// Revision of the key; 0 if there is no record yet.
  std::uint64_t revision = 0;
};

/// Reads and writes the keys below the prefix of one environment.
class EnvironmentStore {
 public:
  EnvironmentStore(StoreClient& store, std::string environment);

  const std::string& name() const { return environment_; }

  /// Reads the head record, which is empty with revision 0 if the key does not
  /// exist. Fails with kFindings for a damaged record.
  Result<Head> ReadHead();

  /// Replaces the head record if it still has `revision`.
  SwapOutcome SwapHead(const model::HeadRecord& record, std::uint64_t revision);

  /// Reads the parts of the document whose manifest has the given hash, and
  /// checks each against its hash. Fails with kFindings for a missing or
  /// damaged part.
  Result<config::DocumentParts> ReadParts(const std::string& hash);

  /// Reads the canonical text of the document whose manifest has the given
  /// hash.
  Result<std::string> ReadDocumentText(const std::string& hash);

  /// Reads the document whose manifest has the given hash; an empty hash stands
  /// for an empty document.
  Result<model::Environment> ReadDocument(const std::string& hash);

  /// Writes all parts, the manifest last. Existing parts are not written again,
  /// since each key is the hash of its content.
  Result<void> WriteParts(const config::DocumentParts& parts);

 private:
  Result<std::string> ReadPart(const std::string& hash);
  Result<void> WritePart(const config::DocumentPart& part);

  StoreClient& store_;
  std::string environment_;
};

}  // namespace berylreach::berylctl
