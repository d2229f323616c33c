// A small deployment for tests of several hosts.
#pragma once

#include <string>
#include <vector>

#include "berylreach/model/caller_request.h"
#include "berylreach/model/environment.h"
#include "berylreach/testing/world.h"

namespace berylreach::testing {

/// Three zones, an order desk of 4 shards with 2 replicas each, a buckle screen
/// of 4 leaves for lookups, and a hide ledger of 3 leaves for orders.
model::Environment SmallEnvironment();

/// Starts hosts a1, a2, b1, b2, c1 and c2, two in each zone, submits the
/// document, and runs until all are ready and know the leaves. False if they do
/// not become ready.
bool StartSixHosts(World& world);

/// Names of the six hosts.
const std::vector<std::string>& SixHosts();

model::CallerRequest Query(const std::string& payload);
model::CallerRequest Lookup(const std::string& key);
model::CallerRequest Order(const World& world, const std::string& key,
                           const std::string& payload = "\"cut\"");

/// The refusal of a finished request; null if it was answered or is unfinished.
const model::Refusal* RefusalOf(const CallerRecord& record);
/// The answer to a finished request; null if it was refused or is unfinished.
const model::Answer* AnswerOf(const CallerRecord& record);

}  // namespace berylreach::testing
