// A small deployment for tests with several hosts, and requests to it.
#pragma once

#include <string>
#include <vector>

#include "berylreach/model/caller_request.h"
#include "berylreach/model/environment.h"
#include "berylreach/testing/world.h"

namespace berylreach::testing {

/// Three zones and three services: order-desk for queries, with 4 shards of 2
/// replicas each, buckle-screen for lookups, with 4 leaves, and hide-ledger for
/// orders and lookups, with 3 leaves.
model::Environment SmallEnvironment();

/// Starts hosts a1, a2, b1, b2, c1 and c2, two in each zone, submits the
/// document, and advances virtual time until all hosts are ready and know the
/// statuses of the leaves. Returns false if a host does not become ready.
bool StartSixHosts(World& world);

/// Names of the hosts that StartSixHosts starts.
const std::vector<std::string>& SixHosts();

/// Create requests to order-desk, buckle-screen and hide-ledger.
/// World::SendRequest sets their ids and deadlines.
model::CallerRequest Query(const std::string& payload);
model::CallerRequest Lookup(const std::string& key);
model::CallerRequest Order(const World& world, const std::string& key,
                           const std::string& payload = "\"cut\"");

/// The refusal of a finished request; null if it was answered or is unfinished.
const model::Refusal* RefusalOf(const CallerRecord& record);
/// The answer to a finished request; null if it was refused or is unfinished.
const model::Answer* AnswerOf(const CallerRecord& record);

}  // namespace berylreach::testing
