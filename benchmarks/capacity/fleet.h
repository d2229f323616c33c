// Environments and head records of a given size.
#pragma once

#include <cstddef>
#include <string>

#include "berylreach/model/environment.h"
#include "berylreach/model/head_record.h"

namespace berylreach::capacity {

/// Three zones, one service of `leaves` leaves for queries with `replicas` of
/// each shard, and one service of four leaves for lookups and orders.
model::Environment FleetEnvironment(std::size_t leaves, std::size_t replicas);

/// Name of host `index`, such as "zone-a-host-0007".
std::string HostName(std::size_t index);
/// Zone of host `index`.
std::string HostZone(std::size_t index);

/// A head record of `hosts` members with incarnations from 1 on, with the
/// addresses that testing::World gives them, and `history` accepted documents.
model::HeadRecord FleetHead(std::size_t hosts,
                            const model::DocumentRef& document,
                            std::size_t history);

}  // namespace berylreach::capacity
