// Guards against a store stand-in that accepts conflicting writes, does not
// inject the configured faults, or does not notify watches of a change: tests
// of hosts would then pass without the fault that they are to cover.
#include "berylreach/standins/store.h"

#include <gtest/gtest.h>

#include "test_client.h"

namespace berylreach::standins {
namespace {

constexpr char kKey[] = "/v1/kv/production/head";

class StoreTest : public testing::Test {
 protected:
  StoreTest() { EXPECT_EQ(store_.Start({"127.0.0.1:0"}), ""); }

  const std::string& address() const { return store_.addresses().front(); }

  /// Writes `value` if the current index of the key is `cas`; returns the body
  /// of the response.
  std::string Put(const std::string& value, const std::string& cas) const {
    return Send(address(), "PUT", std::string(kKey) + "?cas=" + cas, value)
        .body;
  }

  TestAnswer Read() const { return Send(address(), "GET", kKey); }

  static std::string ValueOf(const TestAnswer& answer) {
    return std::string(answer.Json().at(0).at("Value").as_string());
  }

  Store store_;
};

TEST_F(StoreTest, OnlyAWriteThatNamesTheCurrentIndexIsApplied) {
  EXPECT_EQ(Read().status, 404);
  EXPECT_EQ(Put("a", "0"), "true");
  EXPECT_EQ(Put("b", "0"), "false");
  const TestAnswer first = Read();
  EXPECT_EQ(ValueOf(first), "YQ==");
  EXPECT_EQ(first.Json().at(0).at("ModifyIndex"),
            json::value(std::stoi(first.index)));
  EXPECT_EQ(Put("b", first.index), "true");
  EXPECT_EQ(Put("c", first.index), "false");
  EXPECT_EQ(ValueOf(Read()), "Yg==");
  EXPECT_EQ(Counters(address()).at("conflicts"), json::value(2));
}

TEST_F(StoreTest, WatchEndsAtTheNextWriteOrAfterItsWait) {
  Put("a", "0");
  const std::string index = Read().index;
  const std::string target = std::string(kKey) + "?index=" + index + "&wait=";
  EXPECT_EQ(Send(address(), "GET", target + "1ms").index, index);
  TestClient watch(address());
  watch.Write("GET", target + "600s");
  WaitForCounter(address(), "waiting_watches", 1);
  Put("b", index);
  const TestAnswer changed = watch.Read();
  EXPECT_EQ(ValueOf(changed), "Yg==");
  EXPECT_NE(changed.index, index);
  // A watch with an outdated index returns at once.
  EXPECT_EQ(ValueOf(Send(address(), "GET", target + "600s")), "Yg==");
}

TEST_F(StoreTest, WriteWithALostAnswerIsApplied) {
  Control(address(), R"({"lose_answers":1})");
  EXPECT_EQ(Put("a", "0"), "");
  EXPECT_EQ(ValueOf(Read()), "YQ==");
  EXPECT_EQ(Put("b", "0"), "false");
}

TEST_F(StoreTest, DelayedWriteIsAppliedAfterItsClientDisconnects) {
  Control(address(), R"({"slow_ms":20})");
  TestClient(address()).Write("PUT", std::string(kKey) + "?cas=0", "a");
  WaitForCounter(address(), "writes", 1);
  Control(address(), R"({"slow_ms":0})");
  EXPECT_EQ(ValueOf(Read()), "YQ==");
}

TEST_F(StoreTest, StaleReadsReturnThePreviousValue) {
  Put("a", "0");
  Put("b", Read().index);
  Control(address(), R"({"stale_reads":true})");
  EXPECT_EQ(ValueOf(Read()), "YQ==");
}

TEST_F(StoreTest, DownStoreEndsWatchesAndAppliesNothing) {
  Put("a", "0");
  TestClient watch(address());
  watch.Write("GET",
              std::string(kKey) + "?index=" + Read().index + "&wait=600s");
  WaitForCounter(address(), "waiting_watches", 1);
  Control(address(), R"({"down":true})");
  EXPECT_EQ(watch.Read().status, 0);
  EXPECT_EQ(Read().status, 0);
  EXPECT_EQ(Put("b", "2"), "");
  Control(address(), R"({"down":false})");
  EXPECT_EQ(ValueOf(Read()), "YQ==");
}

}  // namespace
}  // namespace berylreach::standins
