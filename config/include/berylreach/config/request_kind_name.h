// Names of request kinds in JSON bodies and documents.
#pragma once

#include <optional>
#include <string_view>

#include "berylreach/model/request_kind.h"

namespace berylreach::config {

/// The name of `kind`: "query", "lookup" or "order".
std::string_view ToString(model::RequestKind kind);

/// The kind called `name`; nullopt if there is none.
std::optional<model::RequestKind> ParseRequestKind(std::string_view name);

}  // namespace berylreach::config
