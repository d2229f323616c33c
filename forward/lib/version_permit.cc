// Looks up the use of a version in a permit.
#include "berylreach/forward/version_permit.h"

#include <algorithm>

namespace berylreach::forward {

VersionUse VersionPermit::UseOf(const std::string& version) const {
  if (target_version != nullptr && version == *target_version) return target;
  const bool is_withheld =
      withheld != nullptr &&
      std::find(withheld->begin(), withheld->end(), version) != withheld->end();
  if (is_withheld && others != VersionUse::kNever)
    return VersionUse::kIfNoOtherListed;
  return others;
}

}  // namespace berylreach::forward
