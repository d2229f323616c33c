// Guards against requests that get the wrong route, because of a shorter
// prefix, a part of a path segment, or the case or port of the host name.
#include "berylreach/forward/route_table.h"

#include <gtest/gtest.h>

namespace berylreach::forward {
namespace {

Route MakeRoute(const std::string& name, const std::string& host,
                const std::string& prefix) {
  Route route;
  route.name = name;
  route.host = host;
  route.prefix = prefix;
  return route;
}

class RouteTableTest : public testing::Test {
 protected:
  RouteTable table_{
      Configuration{.version = 1,
                    .routes = {MakeRoute("short", "h.example", "/a/"),
                               MakeRoute("long", "h.example", "/a/b/"),
                               MakeRoute("other", "i.example", "/")}}};

  std::string Find(const std::string& host, const std::string& path) const {
    const Route* route = table_.Find(host, path);
    return route == nullptr ? "" : route->name;
  }
};

TEST_F(RouteTableTest, LongestPrefixWins) {
  EXPECT_EQ(Find("h.example", "/a/b/c"), "long");
  EXPECT_EQ(Find("h.example", "/a/c"), "short");
}

TEST_F(RouteTableTest, PrefixEndsAtASlash) {
  EXPECT_EQ(Find("h.example", "/a/bc"), "short");
  EXPECT_EQ(Find("h.example", "/a"), "");
}

TEST_F(RouteTableTest, HostsAreKeptApartWithoutCaseAndPort) {
  EXPECT_EQ(Find("I.Example:80", "/a/b/c"), "other");
  EXPECT_EQ(Find("j.example", "/a/b/c"), "");
}

}  // namespace
}  // namespace berylreach::forward
