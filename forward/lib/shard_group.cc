// Transit times between hosts.
#include "berylreach/forward/shard_group.h"

namespace berylreach::forward {

using std::chrono::milliseconds;

milliseconds TransitTime(Distance distance) {
  switch (distance) {
    case Distance::kSameZone:
      return milliseconds(1);
    case Distance::kSameRegion:
      return milliseconds(2);
    case Distance::kOtherRegion:
      break;
  }
  return milliseconds(22);
}

}  // namespace berylreach::forward
