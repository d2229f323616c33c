// Guards against a host list stand-in that omits a leaving host, serves a
// change before the configured lag, or responds while it is down.
#include "berylreach/standins/host_list.h"

#include <gtest/gtest.h>

#include "test_client.h"

namespace berylreach::standins {
namespace {

class HostListTest : public testing::Test {
 protected:
  HostListTest() { EXPECT_EQ(list_.Start({"127.0.0.1:0"}), ""); }

  const std::string& address() const { return list_.addresses().front(); }

  /// The served nodes and their states, each followed by a space.
  std::string Read() const {
    const TestAnswer answer = Send(address(), "GET", "/v1/catalog/nodes");
    std::string text;
    const json::value entries = answer.Json();
    for (const json::value& entry : entries.as_array())
      text += std::string(entry.at("Node").as_string()) + " " +
              std::string(entry.at("Meta").at("state").as_string()) + " ";
    return text;
  }

  HostList list_;
};

TEST_F(HostListTest, ShowsEntriesAndLeavingHosts) {
  EXPECT_EQ(Read(), "");
  Control(address(),
          R"({"entries":[{"Node":"a-1","Address":"10.0.0.1","Datacenter":"a",
              "Meta":{"kind":"host","state":"live"}}]})");
  EXPECT_EQ(Read(), "a-1 live ");
  Control(address(), R"({"states":{"a-1":"leaving","leaf-1":"leaving"}})");
  EXPECT_EQ(Read(), "a-1 leaving leaf-1 leaving ");
  EXPECT_EQ(Counters(address()).at("reads"), json::value(3));
}

TEST_F(HostListTest, ChangesAreServedOnlyAfterTheLag) {
  Control(address(), R"({"states":{"leaf-1":"live"}})");
  Control(address(), R"({"lag_ms":600000,"states":{"leaf-1":"leaving"}})");
  EXPECT_EQ(Read(), "leaf-1 live ");
  Control(address(), R"({"lag_ms":1,"states":{"leaf-2":"live"}})");
  while (Read() != "leaf-1 leaving leaf-2 live ") {
  }
}

TEST_F(HostListTest, HostListThatIsDownDoesNotRespond) {
  Control(address(), R"({"down":true})");
  EXPECT_EQ(Send(address(), "GET", "/v1/catalog/nodes").status, 0);
  EXPECT_EQ(Counters(address()).at("refused_while_down"), json::value(1));
}

}  // namespace
}  // namespace berylreach::standins
