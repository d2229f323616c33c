// Guards against example documents that differ from the deployments in
// docs/design.md, section 1.1.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <fstream>
#include <map>
#include <set>
#include <sstream>
#include <string>

#include "berylreach/config/document.h"

namespace berylreach::config {
namespace {

using model::RequestKind;
using testing::IsEmpty;

/// One row of the table of search services in docs/design.md.
struct ExpectedService {
  std::uint32_t shards;
  std::size_t leaves;
  std::uint32_t slots;
  std::uint32_t connections;
  std::vector<RequestKind> accepts;
};

model::Environment Load(const std::string& file) {
  std::ifstream stream(std::string(BERYLREACH_EXAMPLES) + '/' + file);
  std::ostringstream bytes;
  bytes << stream.rdbuf();
  auto parsed = ParseDocument(bytes.str());
  EXPECT_THAT(parsed.findings, IsEmpty()) << file;
  return parsed.value.value_or(model::Environment{});
}

/// The leaves of a service must be spread evenly over the three zones.
void CheckZoneSpread(const model::Service& service) {
  std::map<std::string, std::size_t> zones;
  for (const model::Leaf& leaf : service.leaves) ++zones[leaf.zone.value];
  EXPECT_EQ(zones.size(), 3U);
  for (const auto& [zone, count] : zones) {
    EXPECT_GE(count, service.leaves.size() / 3) << zone;
    EXPECT_LE(count, (service.leaves.size() + 2) / 3) << zone;
  }
}

/// The two replicas of a shard must be in different zones; otherwise both would
/// be lost with one zone.
void CheckReplicaZones(const model::Service& service) {
  if (service.shards == 1) return;
  std::map<std::string, std::set<std::string>> zones;
  for (const model::Leaf& leaf : service.leaves) {
    const std::string& name = leaf.name.value;
    zones[name.substr(0, name.size() - 2)].insert(leaf.zone.value);
  }
  EXPECT_EQ(zones.size(), service.shards);
  for (const auto& [shard, replica_zones] : zones)
    EXPECT_EQ(replica_zones.size(), 2U) << shard;
}

void CheckServices(const model::Environment& environment,
                   const std::map<std::string, ExpectedService>& table) {
  ASSERT_EQ(environment.services.size(), table.size());
  for (const model::Service& service : environment.services) {
    SCOPED_TRACE(service.name.value);
    const ExpectedService& expected = table.at(service.name.value);
    EXPECT_EQ(service.shards, expected.shards);
    EXPECT_EQ(service.leaves.size(), expected.leaves);
    EXPECT_EQ(service.accepts, expected.accepts);
    EXPECT_EQ(service.priority == 0, service.name.value == "order-desk" ||
                                         service.name.value == "brand-finder");
    for (const model::Leaf& leaf : service.leaves) {
      EXPECT_EQ(leaf.slots, expected.slots);
      EXPECT_EQ(leaf.max_connections, expected.connections);
    }
    CheckZoneSpread(service);
    CheckReplicaZones(service);
  }
}

const std::vector<RequestKind> kQuery{RequestKind::kQuery};
const std::vector<RequestKind> kLookup{RequestKind::kLookup};
const std::vector<RequestKind> kOrder{RequestKind::kLookup,
                                      RequestKind::kOrder};

TEST(ExamplesTest, Remmevaerk) {
  CheckServices(Load("remmevaerk.json"),
                {{"order-desk", {20, 40, 2, 25, kQuery}},
                 {"pattern-notes", {30, 60, 2, 25, kQuery}},
                 {"buckle-screen", {1, 4, 4, 100, kLookup}},
                 {"hide-ledger", {1, 3, 4, 100, kOrder}}});
}

TEST(ExamplesTest, KorkuZimogs) {
  CheckServices(Load("korku-zimogs.json"),
                {{"brand-finder", {20, 40, 2, 25, kQuery}},
                 {"winery-portal", {30, 60, 2, 25, kQuery}},
                 {"press-desk", {1, 5, 3, 40, kLookup}},
                 {"invoicing", {1, 3, 3, 40, kOrder}}});
}

}  // namespace
}  // namespace berylreach::config
