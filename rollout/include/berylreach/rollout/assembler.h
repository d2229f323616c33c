// The interface through which document rollout reads the document format.
#pragma once

#include <concepts>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "berylreach/base/finding.h"
#include "berylreach/model/environment.h"

namespace berylreach::rollout {

/// Content-addressed parts: bytes by content hash.
using Parts = std::map<std::string, std::string>;

/// The result of assembling a document: a valid environment, or all findings
/// that make the document invalid.
using Assembled = std::variant<model::Environment, base::Findings>;

/// Builds an environment from a manifest and its parts. `PartHashes` returns
/// the hashes that a manifest lists, or nullopt if the manifest cannot be
/// parsed. `Assemble` is called with the bytes of the manifest once all listed
/// parts are in `parts`.
template <typename T>
concept Assembler = requires(const T& assembler, std::string_view manifest,
                             const Parts& parts) {
  {
    assembler.PartHashes(manifest)
    } -> std::same_as<std::optional<std::vector<std::string>>>;
  { assembler.Assemble(manifest, parts) } -> std::same_as<Assembled>;
};

}  // namespace berylreach::rollout
