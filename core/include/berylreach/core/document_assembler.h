// Turns document parts into an environment for rollout.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "berylreach/rollout/assembler.h"

namespace berylreach::core {

/// Reads documents in the format of package config.
class DocumentAssembler {
 public:
  /// Hashes that `manifest` lists; nothing if it is not a manifest.
  std::optional<std::vector<std::string>> PartHashes(
      std::string_view manifest) const;

  /// The environment that the parts describe, or all findings.
  rollout::Assembled Assemble(std::string_view manifest,
                              const rollout::Parts& parts) const;
};

static_assert(rollout::Assembler<DocumentAssembler>);

}  // namespace berylreach::core
