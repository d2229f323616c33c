// The rule for lists of allowed regions.
#pragma once

#include <algorithm>
#include <string>
#include <vector>

namespace berylreach::forward {

/// Whether `allowed` contains the region; an empty list allows all.
inline bool IsAllowedRegion(const std::vector<std::string>& allowed,
                            const std::string& region) {
  return allowed.empty() ||
         std::find(allowed.begin(), allowed.end(), region) != allowed.end();
}

}  // namespace berylreach::forward
