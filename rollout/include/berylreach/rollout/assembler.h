// The interface between rollout and the document format.
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

/// Bytes of content-addressed parts by their hash.
using Parts = std::map<std::string, std::string>;

/// A valid environment, or all problems of the document.
using Assembled = std::variant<model::Environment, base::Findings>;

/// Turns parts into an environment. `PartHashes` returns the hashes that a
/// manifest lists, or nothing if the manifest cannot be read. `Assemble` is
/// called with the manifest bytes once all listed parts are in `parts`.
template <typename T>
concept Assembler = requires(const T& assembler, std::string_view manifest,
                             const Parts& parts) {
  {
    assembler.PartHashes(manifest)
    } -> std::same_as<std::optional<std::vector<std::string>>>;
  { assembler.Assemble(manifest, parts) } -> std::same_as<Assembled>;
};

}  // namespace berylreach::rollout
