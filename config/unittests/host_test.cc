// Guards against hosts that start with wrong settings, and against status and
// timeline bodies that are parsed wrongly.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "berylreach/config/address.h"
#include "berylreach/config/host_settings.h"
#include "berylreach/config/host_status.h"
#include "berylreach/config/host_timeline.h"

namespace berylreach::config {
namespace {

TEST(HostSettingsTest, ParsesEveryMember) {
  const auto parsed = ParseHostSettings(
      R"({"host":"h1","environment":"trial","zone":"aarhus",
          "http_listen":"127.0.0.1:0","rpc_listen":"[::1]:9001",
          "store_address":"127.0.0.1:8500","host_list_address":"127.0.0.1:8501",
          "limits":{"timeline_events":7}})");
  ASSERT_TRUE(parsed.value);
  HostSettings expected{
      {"h1"},       "trial",          {"aarhus"},       "127.0.0.1:0",
      "[::1]:9001", "127.0.0.1:8500", "127.0.0.1:8501", {}};
  expected.limits.timeline_events = 7;
  EXPECT_EQ(*parsed.value, expected);
}

// If a host could listen on 0.0.0.0, the membership record would contain an
// address that no other host can reach.
TEST(HostSettingsTest, ReportsAllFindings) {
  const auto parsed = ParseHostSettings(
      R"({"host":"h 1","environment":"a/b","http_listen":"0.0.0.0:80",
          "rpc_listen":"[::]:80","store_address":"127.0.0.1:0",
          "host_list_address":"consul:8500","threads":4,
          "limits":{"request_bytes":70000,"timeline_events":0,"x":1}})");
  EXPECT_FALSE(parsed.value);
  std::vector<std::string> locations;
  for (const auto& finding : parsed.findings)
    locations.push_back(finding.location);
  EXPECT_THAT(
      locations,
      testing::UnorderedElementsAre(
          "/host", "/environment", "/zone", "/http_listen", "/rpc_listen",
          "/store_address", "/host_list_address", "/threads",
          "/limits/request_bytes", "/limits/timeline_events", "/limits/x"));
}

TEST(AddressTest, AcceptsOnlyNumericAddresses) {
  EXPECT_EQ(ParseAddress("10.0.0.7:80"), (Address{"10.0.0.7", 80}));
  EXPECT_EQ(ParseAddress("[fe80::1]:65535"), (Address{"fe80::1", 65535}));
  for (const char* text :
       {"", ":", "10.0.0.7", "10.0.0.7:", "10.0.0:80", "10.0.0.7:65536",
        "10.0.0.7:-1", "10.0.0.7:8 ", "fe80::1:80", "[fe80::1]", "host:80",
        "[10.0.0.7]:80"})
    EXPECT_FALSE(ParseAddress(text)) << text;
  EXPECT_FALSE(ParseAddress(std::string_view("10.0.0.7\0x:80", 13)));
}

TEST(HostStatusTest, JsonFormRoundTrips) {
  const HostStatus status{
      {"h1"},     ~0ULL, {"a"}, 4,
      {9, "abc"}, true,  false, "1.2.3, commit 0123456789ab"};
  EXPECT_EQ(ParseHostStatus(EncodeHostStatus(status)).value, status);
  EXPECT_EQ(ParseHostStatus("{}").findings.size(), 7U);
}

TEST(HostTimelineTest, JsonFormRoundTrips) {
  const HostTimeline timeline{
      {"h1"},
      {{3,
        std::chrono::system_clock::time_point(
            std::chrono::microseconds(1767225600000001)),
        "lease_lost", "h1", "no majority"}}};
  EXPECT_EQ(ParseHostTimeline(EncodeHostTimeline(timeline)).value, timeline);
}

}  // namespace
}  // namespace berylreach::config
