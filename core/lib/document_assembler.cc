// Assembly of documents from their parts.
#include "berylreach/core/document_assembler.h"

#include <utility>

#include "berylreach/config/document.h"
#include "berylreach/config/document_parts.h"

namespace berylreach::core {

std::optional<std::vector<std::string>> DocumentAssembler::PartHashes(
    std::string_view manifest) const {
  return config::ListPartHashes(manifest).value;
}

rollout::Assembled DocumentAssembler::Assemble(
    std::string_view manifest, const rollout::Parts& parts) const {
  std::vector<std::string> bytes;
  bytes.reserve(parts.size());
  for (const auto& [hash, part] : parts) bytes.push_back(part);
  auto document = config::AssembleDocument(manifest, bytes);
  if (!document.value) return std::move(document.findings);
  auto environment = config::ParseDocument(*document.value);
  if (!environment.value) return std::move(environment.findings);
  return std::move(*environment.value);
}

}  // namespace berylreach::core
