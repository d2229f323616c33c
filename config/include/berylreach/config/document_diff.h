// Compares two documents by content.
#pragma once

#include <vector>

#include "berylreach/config/document_change.h"
#include "berylreach/model/environment.h"

namespace berylreach::config {

/// All differences from `before` to `after`. Zones, services and leaves are
/// matched by name, so a different order is not a difference.
std::vector<DocumentChange> DiffDocuments(const model::Environment& before,
                                          const model::Environment& after);

}  // namespace berylreach::config
