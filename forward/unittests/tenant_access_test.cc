// Guards against requests that run without a valid key or on other terms than
// those of the tenant, and against refusals of valid keys.
#include "berylreach/forward/tenant_access.h"

#include <gtest/gtest.h>

namespace berylreach::forward {
namespace {

class TenantAccessTest : public testing::Test {
 protected:
  TenantAccessTest() {
    configuration_.version = 1;
    route_.name = "r";
    route_.priority = 2;
    configuration_.tenants = {
        {.name = "a", .api_keys = {ApiKey::Of("ka"), ApiKey::Of("kb")}},
        {.name = "b", .api_keys = {ApiKey::Of("kc")}, .priority = 0}};
  }

  TenantAccess Check(const std::vector<std::string_view>& keys) {
    configuration_.routes = {route_};
    table_.emplace(configuration_);
    return CheckAccess(*table_, table_->configuration().routes[0], keys);
  }

  Route route_;
  Configuration configuration_;
  std::optional<RouteTable> table_;
};

TEST_F(TenantAccessTest, EveryKeyOfATenantIsAccepted) {
  for (const char* key : {"ka", "kb"}) {
    const TenantAccess access = Check({key});
    EXPECT_EQ(access.refusal, AccessRefusal::kNone);
    ASSERT_NE(access.tenant, nullptr);
    EXPECT_EQ(access.tenant->name, "a");
  }
}

TEST_F(TenantAccessTest, MissingUnknownAndRepeatedKeysAreRefused) {
  EXPECT_EQ(Check({}).refusal, AccessRefusal::kMissingKey);
  for (const char* key : {"", "k", "kax", "KA", "ka, kb"})
    EXPECT_EQ(Check({key}).refusal, AccessRefusal::kUnknownKey) << key;
  EXPECT_EQ(Check({"ka", "ka"}).refusal, AccessRefusal::kUnknownKey);
  configuration_.tenants[0].api_keys.clear();
  EXPECT_EQ(Check({"ka"}).refusal, AccessRefusal::kUnknownKey);
}

TEST_F(TenantAccessTest, PublicRoutesAndConfigurationsWithoutTenantsNeedNoKey) {
  route_.is_public = true;
  EXPECT_EQ(Check({}).refusal, AccessRefusal::kNone);
  EXPECT_EQ(Check({"ka"}).tenant, nullptr);
  route_.is_public = false;
  configuration_.tenants.clear();
  EXPECT_EQ(Check({}).refusal, AccessRefusal::kNone);
  EXPECT_EQ(Check({"ka"}).tenant, nullptr);
}

TEST_F(TenantAccessTest, PriorityOfTheTenantTakesPrecedence) {
  EXPECT_EQ(Check({"ka"}).priority, 2U);
  EXPECT_EQ(Check({"kc"}).priority, 0U);
  const Route& route = table_->configuration().routes[0];
  EXPECT_EQ(AccessForHost(*table_, route, "b").priority, 0U);
  EXPECT_EQ(AccessForHost(*table_, route, "unknown").priority, 2U);
  EXPECT_EQ(AccessForHost(*table_, route, "unknown").tenant, nullptr);
}

TEST_F(TenantAccessTest, OnlyRegionsAllowedToTenantAndRouteServe) {
  using Regions = std::vector<std::string>;
  configuration_.tenants[0].regions = {"x", "y"};
  EXPECT_EQ(Check({"ka"}).regions, (Regions{"x", "y"}));
  route_.regions = {"y", "z"};
  EXPECT_EQ(Check({"ka"}).regions, Regions{"y"});
  EXPECT_EQ(Check({"kc"}).regions, (Regions{"y", "z"}));
  route_.regions = {"z"};
  EXPECT_EQ(Check({"ka"}).refusal, AccessRefusal::kNoRegion);
}

}  // namespace
}  // namespace berylreach::forward
