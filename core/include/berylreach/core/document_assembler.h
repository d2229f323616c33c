// Assembles the parts of a document and parses them into an environment.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "berylreach/rollout/assembler.h"

namespace berylreach::core {

/// Implements rollout::Assembler for documents in the format of package config.
class DocumentAssembler {
 public:
  /// Hashes of the parts that `manifest` lists; nothing if it is not a valid
  /// manifest.
  std::optional<std::vector<std::string>> PartHashes(
      std::string_view manifest) const;

  /// The environment that the parts describe, or all errors found in them.
  rollout::Assembled Assemble(std::string_view manifest,
                              const rollout::Parts& parts) const;
};

static_assert(rollout::Assembler<DocumentAssembler>);

}  // namespace berylreach::core
