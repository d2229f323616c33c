// The stored records of one environment.
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

/// The head record as read at one moment.
struct Head {
  model::HeadRecord record;
  /// Revision of the key; 0 if there is no record yet.
  std::uint64_t revision = 0;
};

/// Reads and writes the keys below one environment's prefix.
class EnvironmentStore {
 public:
  EnvironmentStore(StoreClient& store, std::string environment);

  const std::string& name() const { return environment_; }

  /// The head record; an empty one with revision 0 if there is none. Fails with
  /// kFindings for a damaged record.
  Result<Head> ReadHead();

  /// Replaces the head record that has `revision`.
  SwapOutcome SwapHead(const model::HeadRecord& record, std::uint64_t revision);

  /// The parts of the document whose manifest has the given hash, each checked
  /// against its hash.
  Result<config::DocumentParts> ReadParts(const std::string& hash);

  /// The canonical text of the document whose manifest has the given hash.
  Result<std::string> ReadDocumentText(const std::string& hash);

  /// The document whose manifest has the given hash; an empty one for an empty
  /// hash.
  Result<model::Environment> ReadDocument(const std::string& hash);

  /// Writes all parts, the manifest last. Parts that exist are left alone,
  /// since their key is the hash of their content.
  Result<void> WriteParts(const config::DocumentParts& parts);

 private:
  Result<std::string> ReadPart(const std::string& hash);
  Result<void> WritePart(const config::DocumentPart& part);

  StoreClient& store_;
  std::string environment_;
};

}  // namespace berylreach::berylctl
