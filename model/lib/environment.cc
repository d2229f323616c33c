// Look-ups by name in the configuration of an environment.
#include "berylreach/model/environment.h"

#include <algorithm>

namespace berylreach::model {
namespace {

template <typename T, typename NameType>
const T* FindByName(const std::vector<T>& items, const NameType& name) {
  const auto found =
      std::find_if(items.begin(), items.end(),
                   [&](const T& item) { return item.name == name; });
  return found == items.end() ? nullptr : &*found;
}

}  // namespace

const Service* FindService(const Environment& environment,
                           const ServiceName& name) {
  return FindByName(environment.services, name);
}

const Zone* FindZone(const Environment& environment, const ZoneName& name) {
  return FindByName(environment.zones, name);
}

std::string RegionOf(const Environment& environment, const ZoneName& zone) {
  const Zone* found = FindZone(environment, zone);
  return found == nullptr ? std::string() : found->region;
}

LeafWithService FindLeaf(const Environment& environment, const LeafName& name) {
  for (const Service& service : environment.services) {
    if (const Leaf* leaf = FindByName(service.leaves, name))
      return {&service, leaf};
  }
  return {};
}

bool ZoneInService(const Environment& environment, const ZoneName& zone) {
  const Zone* found = FindZone(environment, zone);
  return found != nullptr && found->state == ZoneState::kInService;
}

}  // namespace berylreach::model
