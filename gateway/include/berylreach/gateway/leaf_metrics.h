// Metrics of single leaves.
#pragma once

#include <string>

#include "berylreach/base/clock.h"
#include "berylreach/forward/leaf_directory.h"

namespace berylreach::gateway {

/// Appends, for the few leaves that are slowest compared with others that serve
/// the same routes, by how much they are slower and how old this estimate is.
void AppendSlowestLeaves(const forward::LeafDirectory& directory,
                         base::TimePoint now, std::string& text);

}  // namespace berylreach::gateway
