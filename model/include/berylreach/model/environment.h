// The configuration of an environment, parsed from its document.
#pragma once

#include <string>
#include <vector>

#include "berylreach/model/service.h"
#include "berylreach/model/zone.h"

namespace berylreach::model {

/// Everything that operators configure in a document. It does not contain the
/// name of the environment, so that the same bytes can be used in several
/// environments, such as "trial" and "production".
struct Environment {
  /// Name of the deployment, such as "remmevaerk".
  std::string name;
  std::vector<Zone> zones;
  std::vector<Service> services;

  friend bool operator==(const Environment&, const Environment&) = default;
};

/// The service called `name`; null if there is none.
const Service* FindService(const Environment& environment,
                           const ServiceName& name);

/// The zone called `name`; null if there is none.
const Zone* FindZone(const Environment& environment, const ZoneName& name);

/// The region of `zone`; empty for an unknown zone.
std::string RegionOf(const Environment& environment, const ZoneName& zone);

/// A leaf and the service that it belongs to; both null if there is no such
/// leaf.
struct LeafWithService {
  const Service* service = nullptr;
  const Leaf* leaf = nullptr;
};

/// The leaf called `name` with its service.
LeafWithService FindLeaf(const Environment& environment, const LeafName& name);

/// Whether `zone` is configured to take new work; false for an unknown zone.
bool ZoneInService(const Environment& environment, const ZoneName& zone);

}  // namespace berylreach::model
