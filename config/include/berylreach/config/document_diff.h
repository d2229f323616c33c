// Semantic difference of documents.
#pragma once

#include <vector>

#include "berylreach/config/document_change.h"
#include "berylreach/model/environment.h"

namespace berylreach::config {

/// Differences from `before` to `after`. Zones, services and leaves are matched
/// by name, so that reordering is no difference.
std::vector<DocumentChange> DiffDocuments(const model::Environment& before,
                                          const model::Environment& after);

}  // namespace berylreach::config
