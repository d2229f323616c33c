// Guards against a leaf stand-in that hides overload of a cold leaf, runs more
// calls than it has slots, miscounts the runs of orders or survives a request
// that must make it crash: tests of hosts would then miss these faults.
#include "berylreach/standins/leaf.h"

#include <gtest/gtest.h>

#include <chrono>
#include <map>
#include <memory>
#include <vector>

#include "berylreach/config/leaf_answer_codec.h"
#include "berylreach/config/leaf_call_codec.h"
#include "berylreach/config/leaf_status_codec.h"
#include "test_client.h"

namespace berylreach::standins {
namespace {

using model::LeafOutcome;
using model::RequestKind;

/// Service time of 1,000 s, so that no call completes during a test.
constexpr char kNeverCompletes[] = R"({"median_ms":1000000})";

class LeafTest : public testing::Test {
 protected:
  LeafTest() { EXPECT_EQ(process_.StartAll(), ""); }

  const std::string& address() const { return process_.addresses().front(); }

  static std::string Call(std::uint64_t number,
                          RequestKind kind = RequestKind::kQuery,
                          const std::string& key = {}) {
    model::UpstreamCall call;
    call.id = {1, number};
    call.service.value = "desk";
    call.kind = kind;
    call.version = 1;
    call.payload = R"({"batch":7})";
    call.key = key;
    call.deadline = std::chrono::system_clock::now() + std::chrono::minutes(2);
    return config::EncodeLeafCall(call);
  }

  /// Sends a call on a new connection without waiting for the response.
  TestClient& Start(const std::string& call) {
    clients_.push_back(std::make_unique<TestClient>(address()));
    clients_.back()->Write("POST", "/v1/call", call);
    return *clients_.back();
  }

  void Cancel(std::uint64_t number) const {
    Send(address(), "POST", "/v1/cancel",
         config::EncodeLeafCancel({1, number}));
  }

  TestAnswer Run(const std::string& call) const {
    return Send(address(), "POST", "/v1/call", call);
  }

  static LeafOutcome OutcomeOf(const TestAnswer& answer) {
    const auto parsed = config::ParseLeafAnswer(
        static_cast<unsigned>(answer.status), answer.body);
    EXPECT_TRUE(parsed.value) << answer.body;
    return parsed.value ? parsed.value->outcome : LeafOutcome::kTimedOut;
  }

  LeafProcess process_{{LeafOptions{.name = "desk-a"}}};
  std::vector<std::unique_ptr<TestClient>> clients_;
};

TEST_F(LeafTest, AnswersCanBeParsedByTheCodec) {
  const TestAnswer answer = Run(Call(5));
  const auto parsed = config::ParseLeafAnswer(200, answer.body);
  ASSERT_TRUE(parsed.value) << answer.body;
  EXPECT_EQ(parsed.value->id, (model::CallId{1, 5}));
  EXPECT_EQ(parsed.value->leaf.value, "desk-a");
  EXPECT_EQ(parsed.value->result,
            R"({"shard":0,"version":1,"payload":{"batch":7}})");
  EXPECT_EQ(Run("{}").status, 400);
}

TEST_F(LeafTest, ColdLeafFailsAllButOneCallUntilItIsWarm) {
  Control(address(), R"({"cold":1,"median_ms":1000000})");
  Start(Call(1));
  WaitForCounter(address(), "running", 1);
  const TestAnswer failed = Run(Call(2));
  EXPECT_EQ(failed.status, 500);
  EXPECT_FALSE(failed.Json().as_object().contains("not_run"));
  Cancel(1);
  Control(address(), R"({"median_ms":1})");
  EXPECT_EQ(OutcomeOf(Run(Call(3))), LeafOutcome::kOk);
  Control(address(), kNeverCompletes);
  Start(Call(4));
  Start(Call(5));
  WaitForCounter(address(), "running", 2);
  EXPECT_EQ(Counters(address()).at("failed_cold"), json::value(1));
}

TEST_F(LeafTest, FillsItsSlotsQueuesAsManyCallsAndShedsTheRest) {
  Control(address(), kNeverCompletes);
  Start(Call(1));
  Start(Call(2));
  WaitForCounter(address(), "running", 2);
  for (const std::uint64_t number : {3, 4, 5}) Start(Call(number));
  WaitForCounter(address(), "shed", 1);
  for (const std::uint64_t number : {3, 4, 5, 1, 2}) Cancel(number);
  std::map<LeafOutcome, int> outcomes;
  for (const auto& client : clients_) ++outcomes[OutcomeOf(client->Read())];
  EXPECT_EQ(outcomes[LeafOutcome::kShed], 1);
  // Cancelled while queued, so that they are known not to have run.
  EXPECT_EQ(outcomes[LeafOutcome::kNotSent], 2);
  // Cancelled while running.
  EXPECT_EQ(outcomes[LeafOutcome::kLost], 2);
  EXPECT_EQ(Counters(address()).at("max_running"), json::value(2));
}

TEST_F(LeafTest, CountsEachRunOfAnOrderAndNoRefusal) {
  const auto runs = [&](const char* key) {
    const json::object counters = Counters(address());
    const json::value* count =
        counters.at("orders").as_object().if_contains(key);
    return count == nullptr ? 0 : count->to_number<int>();
  };
  Run(Call(1, RequestKind::kOrder, "cut-1"));
  Run(Call(2, RequestKind::kOrder, "cut-1"));
  Run(Call(3, RequestKind::kLookup, "cut-2"));
  Control(address(), R"({"drain":true})");
  EXPECT_EQ(OutcomeOf(Run(Call(4, RequestKind::kOrder, "cut-3"))),
            LeafOutcome::kDraining);
  EXPECT_EQ(runs("cut-1"), 2);
  EXPECT_EQ(runs("cut-2"), 0);
  EXPECT_EQ(runs("cut-3"), 0);
}

TEST_F(LeafTest, RunningOrderIsNotCancelled) {
  Control(address(), kNeverCompletes);
  Start(Call(1, RequestKind::kOrder, "cut-1"));
  WaitForCounter(address(), "running", 1);
  Cancel(1);
  EXPECT_EQ(Counters(address()).at("cancelled"), json::value(0));
  EXPECT_EQ(Counters(address()).at("running"), json::value(1));
}

TEST_F(LeafTest, RestartAbortsCallsAndChangesTheIncarnation) {
  const auto status = [&] {
    return *config::ParseLeafStatus(Send(address(), "GET", "/v1/status").body)
                .value;
  };
  const std::uint64_t before = status().incarnation;
  EXPECT_EQ(status().incarnation, before);
  Control(address(), kNeverCompletes);
  TestClient& call = Start(Call(1));
  WaitForCounter(address(), "running", 1);
  Control(address(), R"({"restart":true,"drain":true})");
  EXPECT_EQ(call.Read().status, 0);
  EXPECT_NE(status().incarnation, before);
  EXPECT_TRUE(status().draining);
}

TEST(LeafDeathTest, KillingPayloadEndsTheProcess) {
  testing::FLAGS_gtest_death_test_style = "threadsafe";
  EXPECT_EXIT(
      {
        LeafProcess process({LeafOptions{}});
        process.StartAll();
        const std::string address = process.addresses().front();
        Control(address, R"({"die_on":"killer"})");
        model::UpstreamCall call;
        call.service.value = "desk";
        call.payload = R"("killer")";
        call.deadline =
            std::chrono::system_clock::now() + std::chrono::minutes(2);
        Send(address, "POST", "/v1/call", config::EncodeLeafCall(call));
      },
      testing::ExitedWithCode(1), "");
}

}  // namespace
}  // namespace berylreach::standins
