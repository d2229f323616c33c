// Names of request kinds in JSON bodies and documents.
#include "berylreach/config/request_kind_name.h"

namespace berylreach::config {

std::string_view ToString(model::RequestKind kind) {
  switch (kind) {
    case model::RequestKind::kQuery:
      return "query";
    case model::RequestKind::kLookup:
      return "lookup";
    case model::RequestKind::kOrder:
      return "order";
  }
  return "unknown";
}

std::optional<model::RequestKind> ParseRequestKind(std::string_view name) {
  if (name == "query") return model::RequestKind::kQuery;
  if (name == "lookup") return model::RequestKind::kLookup;
  if (name == "order") return model::RequestKind::kOrder;
  return std::nullopt;
}

}  // namespace berylreach::config
