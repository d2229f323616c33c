// Names of request kinds in JSON bodies and documents.
#pragma once

#include <optional>
#include <string_view>

#include "berylreach/model/request_kind.h"

namespace berylreach::config {

/// "query", "lookup" or "order".
std::string_view ToString(model::RequestKind kind);

/// The kind of that name; nothing for any other text.
std::optional<model::RequestKind> ParseRequestKind(std::string_view name);

}  // namespace berylreach::config
