// The parsed document of an environment.
#pragma once

#include <string>
#include <vector>

#include "berylreach/model/service.h"
#include "berylreach/model/zone.h"

namespace berylreach::model {

/// Everything that operators state in a document. It does not name the
/// environment, so that the same bytes serve in trial and in production.
struct Environment {
  /// Name of the deployment, such as "remmevaerk".
  std::string name;
  std::vector<Zone> zones;
  std::vector<Service> services;

  friend bool operator==(const Environment&, const Environment&) = default;
};

/// The service of that name; null if there is none.
const Service* FindService(const Environment& environment,
                           const ServiceName& name);

/// The zone of that name; null if there is none.
const Zone* FindZone(const Environment& environment, const ZoneName& name);

/// The region of the zone; empty if there is no such zone.
std::string RegionOf(const Environment& environment, const ZoneName& zone);

/// The leaf of that name, and the service that it belongs to; both null if
/// there is none.
struct LeafPlace {
  const Service* service = nullptr;
  const Leaf* leaf = nullptr;
};
LeafPlace FindLeaf(const Environment& environment, const LeafName& name);

/// Whether operators let `zone` take new work; false for an unknown zone.
bool ZoneTakesWork(const Environment& environment, const ZoneName& zone);

}  // namespace berylreach::model
