// Access to the head record and the documents of one environment in the store.
#include "berylreach/berylctl/environment_store.h"

#include <utility>

#include "berylreach/base/hash.h"
#include "berylreach/config/document.h"
#include "berylreach/config/head_record_codec.h"

namespace berylreach::berylctl {
namespace {

Failure DamagedFailure(const std::string& what, base::Findings findings) {
  return {ExitCode::kFindings, what + " in the store is damaged",
          std::move(findings)};
}

}  // namespace

EnvironmentStore::EnvironmentStore(StoreClient& store, std::string environment)
    : store_(store), environment_(std::move(environment)) {}

Result<Head> EnvironmentStore::ReadHead() {
  BOOST_OUTCOME_TRY(auto value, store_.Read(environment_ + "/head"));
  if (value.revision == 0) return Head{};
  auto decoded = config::DecodeHeadRecord(value.bytes);
  if (!decoded.value)
    return DamagedFailure("the head record of " + environment_,
                          std::move(decoded.findings));
  return Head{std::move(*decoded.value), value.revision};
}

SwapOutcome EnvironmentStore::SwapHead(const model::HeadRecord& record,
                                       std::uint64_t revision) {
  return store_.CompareAndSwap(environment_ + "/head",
                               config::EncodeHeadRecord(record), revision);
}

Result<std::string> EnvironmentStore::ReadPart(const std::string& hash) {
  BOOST_OUTCOME_TRY(auto value, store_.Read(environment_ + "/parts/" + hash));
  if (value.revision == 0)
    return Failure{ExitCode::kFindings,
                   "part " + hash + " of " + environment_ + " is missing"};
  if (base::ContentHash(value.bytes) != hash)
    return DamagedFailure("part " + hash + " of " + environment_, {});
  return std::move(value.bytes);
}

Result<config::DocumentParts> EnvironmentStore::ReadParts(
    const std::string& hash) {
  config::DocumentParts parts;
  BOOST_OUTCOME_TRY(auto manifest, ReadPart(hash));
  parts.manifest = {hash, std::move(manifest)};
  auto listed = config::ListPartHashes(parts.manifest.bytes);
  if (!listed.value)
    return DamagedFailure("the manifest " + hash, std::move(listed.findings));
  for (const std::string& part : *listed.value) {
    BOOST_OUTCOME_TRY(auto bytes, ReadPart(part));
    parts.parts.push_back({part, std::move(bytes)});
  }
  return parts;
}

Result<std::string> EnvironmentStore::ReadDocumentText(
    const std::string& hash) {
  BOOST_OUTCOME_TRY(auto parts, ReadParts(hash));
  std::vector<std::string> bytes;
  for (config::DocumentPart& part : parts.parts)
    bytes.push_back(std::move(part.bytes));
  auto assembled = config::AssembleDocument(parts.manifest.bytes, bytes);
  if (!assembled.value)
    return DamagedFailure("document " + hash, std::move(assembled.findings));
  return std::move(*assembled.value);
}

Result<model::Environment> EnvironmentStore::ReadDocument(
    const std::string& hash) {
  if (hash.empty()) return model::Environment{};
  BOOST_OUTCOME_TRY(auto text, ReadDocumentText(hash));
  auto parsed = config::ParseDocument(text);
  if (!parsed.value)
    return DamagedFailure("document " + hash, std::move(parsed.findings));
  return std::move(*parsed.value);
}

Result<void> EnvironmentStore::WriteParts(const config::DocumentParts& parts) {
  for (const config::DocumentPart& part : parts.parts) {
    BOOST_OUTCOME_TRY(WritePart(part));
  }
  return WritePart(parts.manifest);
}

Result<void> EnvironmentStore::WritePart(const config::DocumentPart& part) {
  const std::string key = environment_ + "/parts/" + part.hash;
  if (store_.CompareAndSwap(key, part.bytes, 0) == SwapOutcome::kApplied)
    return Success();
  // The part already exists, or the response was lost.
  BOOST_OUTCOME_TRY(auto value, store_.Read(key));
  if (value.revision != 0 && value.bytes == part.bytes) return Success();
  if (value.revision != 0) return DamagedFailure("part " + part.hash, {});
  return Failure{ExitCode::kStoreUnreachable,
                 "the store did not accept part " + part.hash};
}

}  // namespace berylreach::berylctl
