// Generated environments and head records of a given size.
#pragma once

#include <cstddef>
#include <string>

#include "berylreach/model/environment.h"
#include "berylreach/model/head_record.h"

namespace berylreach::capacity {

/// Creates an environment with three zones, one query service of `leaves`
/// leaves with `replicas` replicas of each shard, and one service of four
/// leaves for lookups and orders.
model::Environment FleetEnvironment(std::size_t leaves, std::size_t replicas);

/// Name of host `index`, such as "zone-b-host-00007".
std::string HostName(std::size_t index);

/// Zone of host `index`; hosts are assigned to the zones in turn.
std::string HostZone(std::size_t index);

/// Creates a head record of `hosts` members with incarnations from 1 on and the
/// addresses that testing::World assigns. Its history has `history_entries`
/// documents.
model::HeadRecord FleetHeadRecord(std::size_t hosts,
                                  const model::DocumentRef& document,
                                  std::size_t history_entries);

}  // namespace berylreach::capacity
