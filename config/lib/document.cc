// Parses and encodes the documents that operators submit.
#include "berylreach/config/document.h"

#include "berylreach/config/bounds.h"
#include "document_json.h"
#include "document_parser.h"

namespace berylreach::config {
namespace {

/// Reports each service whose part is too large for the store, which holds each
/// service as one value.
void CheckPartSizes(const model::Environment& environment,
                    base::Findings& findings) {
  for (std::size_t i = 0; i < environment.services.size(); ++i) {
    const auto bytes =
        json::serialize(ServiceToJson(environment.services[i])).size();
    if (bytes <= kMaxStoreValueBytes) continue;
    findings.push_back({ChildLocation("/services", i),
                        "has " + std::to_string(bytes) +
                            " bytes in canonical form, above the " +
                            std::to_string(kMaxStoreValueBytes) +
                            " bytes that the store takes"});
  }
}

}  // namespace

Parsed<model::Environment> ParseDocument(std::string_view bytes) {
  Parsed<model::Environment> result;
  const auto value = ParseJson(bytes, kMaxDocumentBytes, result.findings);
  if (!value) return result;
  model::Environment environment =
      DocumentParser(result.findings).Parse(*value);
  CheckPartSizes(environment, result.findings);
  if (!result.findings.empty()) return result;
  SortDocument(environment);
  result.value = std::move(environment);
  return result;
}

std::string EncodeDocument(const model::Environment& environment) {
  model::Environment sorted = environment;
  SortDocument(sorted);
  return json::serialize(DocumentToJson(sorted));
}

}  // namespace berylreach::config
