// Types for the names of hosts, zones, services and leaves.
#pragma once

#include "berylreach/base/name.h"

namespace berylreach::model {

/// Name of a host; unique in an environment.
using HostName = base::Name<struct HostNameTag>;

/// Name of an availability zone.
using ZoneName = base::Name<struct ZoneNameTag>;

/// Name of a search service.
using ServiceName = base::Name<struct ServiceNameTag>;

/// Name of a leaf; unique in an environment.
using LeafName = base::Name<struct LeafNameTag>;

}  // namespace berylreach::model
