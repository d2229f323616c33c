// Guards against a request that crashes more than two leaves, and against
// harmless requests that remain suspect.
//
// An unproven request runs on one leaf first: its canary. If that leaf crashes,
// the request becomes suspect. It then runs only as exclusive calls, beside
// which the leaf runs no others, and only through its arbiter, the host that
// grants these calls one at a time. A success clears the request; a second
// crash blocks it.
#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>

#include "runner_fixture.h"

namespace berylreach::query {
namespace {

class SuspectTest : public RunnerFixture {
 protected:
  std::uint64_t Fingerprint() const {
    return quarantine::FingerprintOf(request_);
  }
};

// Guards against a suspect request that runs on two leaves at once during its
// retry, and against a successful retry that does not clear the request.
TEST_F(SuspectTest, RetryAfterACrashIsExclusiveAndGoesToTheArbiter) {
  Start(/*proven=*/false);
  Answer(0, LeafOutcome::kLeafCrashed);
  ASSERT_EQ(sent_.size(), 2U);
  EXPECT_TRUE(sent_[1].call.exclusive);
  EXPECT_EQ(sent_[1].to,
            quarantine::ArbiterOf(Fingerprint(), context_.members)->host);
  Answer(1);
  // The request is cleared, and the remaining shards run as usual.
  ASSERT_EQ(sent_.size(), 4U);
  EXPECT_FALSE(sent_[2].call.exclusive);
  EXPECT_EQ(context_.suspects.TrustLevelOf(Fingerprint()),
            quarantine::TrustLevel::kProven);
}

// Guards against a refusal that is held back so that the caller cannot repeat
// the request too early. The refusal must be sent at once; its retry time
// covers the time until all hosts know of the crashes.
TEST_F(SuspectTest, RefusalAfterACrashIsGivenAtOnceWithARetryTime) {
  Start(/*proven=*/false);
  Answer(0, LeafOutcome::kLeafCrashed);
  Answer(1, LeafOutcome::kLeafCrashed);
  EXPECT_TRUE(runner_->finished());
  EXPECT_EQ(FinalRefusal().code, model::ErrorCode::kRequestBlocked);
  EXPECT_EQ(FinalRefusal().execution, model::ExecutionStatus::kMayHaveRun);
  EXPECT_GE(FinalRefusal().retry_after,
            quarantine::Quarantine::kPropagationTime);
}

// Guards against a request that crashes a third leaf after its canary and the
// canary's hedge have each crashed one.
TEST_F(SuspectTest, CrashesOfCanaryAndItsHedgeBlockTheRequest) {
  FillLatencyWindow();
  Start(/*proven=*/false);
  // Sends the hedge.
  Wait(milliseconds(10));
  // Must not send a second hedge, which could crash a third leaf.
  Wait(milliseconds(10));
  ASSERT_EQ(sent_.size(), 2U);
  Answer(0, LeafOutcome::kLeafCrashed);
  EXPECT_EQ(sent_.size(), 2U);
  Answer(1, LeafOutcome::kLeafCrashed);
  EXPECT_EQ(context_.suspects.TrustLevelOf(Fingerprint()),
            quarantine::TrustLevel::kBlocked);
}

// Guards against a suspect request that runs on two leaves at once because of a
// hedge.
TEST_F(SuspectTest, SuspectIsNeverHedged) {
  FillLatencyWindow();
  std::vector<quarantine::Action> actions;
  context_.suspects.OnLeafCrash({{Fingerprint()}}, actions);
  Start(/*proven=*/false);
  Wait(milliseconds(500));
  EXPECT_EQ(sent_.size(), 1U);
}

// Guards against a request that crashes a second leaf: the first crash is seen
// only as a lost connection, and the retry must nevertheless be exclusive.
TEST_F(SuspectTest, LostConnectionOfAnUnprovenRequestMakesItSuspect) {
  Start(/*proven=*/false);
  Answer(0, LeafOutcome::kLost);
  EXPECT_TRUE(sent_.at(1).call.exclusive);
}

// Guards against a blocked request that runs, or whose refusal does not say
// when the block ends.
TEST_F(SuspectTest, BlockedRequestIsRefusedWithTheRemainingTime) {
  std::vector<quarantine::Action> actions;
  context_.suspects.OnSecondCrash(Fingerprint(), actions);
  Start(/*proven=*/false);
  EXPECT_TRUE(sent_.empty());
  EXPECT_EQ(FinalRefusal().code, model::ErrorCode::kRequestBlocked);
  EXPECT_EQ(FinalRefusal().execution, model::ExecutionStatus::kNotRun);
  EXPECT_EQ(FinalRefusal().retry_after, quarantine::Quarantine::kEntryLifetime);
}

// Guards against a canary that is refused, or repeated without an exclusive
// call, when the owner of the leaf at which it was queued rejects it because
// another copy of the request has crashed the leaf. The retry time of a later
// refusal must cover the time until all hosts know of this crash.
TEST_F(SuspectTest, CanaryRefusedAsSuspectContinuesExclusively) {
  Start(/*proven=*/false);
  EXPECT_TRUE(sent_[0].call.canary);
  Answer(0, LeafOutcome::kSuspect);
  ASSERT_EQ(sent_.size(), 2U);
  EXPECT_TRUE(sent_[1].call.exclusive);
  Answer(1, LeafOutcome::kOverloaded);
  EXPECT_EQ(FinalRefusal().execution, model::ExecutionStatus::kNotRun);
  EXPECT_GE(FinalRefusal().retry_after,
            quarantine::Quarantine::kPropagationTime);
}

// Guards against copies of a request that each crash another leaf: they arrive
// at several hosts at the same time, and these hosts must choose the same leaf.
TEST_F(SuspectTest, CopiesAtAllHostsChooseTheSameLeaf) {
  Start(/*proven=*/false);
  // The other hosts have other random seeds, zones and views of the load.
  for (std::uint64_t i = 2; i < 8; ++i) {
    FakeContext other(clock_, /*shards=*/3, /*replicas=*/2, /*incarnation=*/i);
    for (std::uint32_t j = 0; j < 2; ++j) other.Hold(j, {7});
    other.own_zone = {"z" + std::to_string(i % 2)};
    for (int call = 0; call < 3; ++call)
      other.leaves.OnCallSent(sent_[0].call.leaf);
    QueryRunner runner(clock_, other, request_);
    std::vector<Action> out;
    runner.Start(out);
    EXPECT_EQ(std::get<SendCall>(out.at(0)).call.leaf, sent_[0].call.leaf);
  }
}

// Guards against a canary that waits in a queue while other leaves are free,
// and against one that calls full leaves forever.
TEST_F(SuspectTest, CanarySkipsLeavesWithoutASlotThenQueuesAtTheFirst) {
  Start(/*proven=*/false);
  for (std::size_t i = 0; i < QueryRunner::kMaxFullCanaryLeaves; ++i) {
    EXPECT_TRUE(sent_.at(i).call.no_wait);
    Answer(i, LeafOutcome::kNoSlot);
  }
  ASSERT_EQ(sent_.size(), QueryRunner::kMaxFullCanaryLeaves + 1);
  EXPECT_EQ(sent_.back().call.leaf, sent_.front().call.leaf);
  EXPECT_FALSE(sent_.back().call.no_wait);
  std::set<model::LeafName> leaves;
  for (const SendCall& send : sent_) leaves.insert(send.call.leaf);
  EXPECT_EQ(leaves.size(), QueryRunner::kMaxFullCanaryLeaves);
  Answer(sent_.size() - 1);
  // After the canary, the other shards are called, including those of the
  // leaves without a free slot.
  for (std::size_t i = QueryRunner::kMaxFullCanaryLeaves + 1; i < sent_.size();
       ++i)
    EXPECT_FALSE(sent_[i].call.canary);
  Answer(sent_.size() - 2);
  Answer(sent_.size() - 1);
  EXPECT_EQ(FinalAnswer().coverage.shards_answered, 3U);
  EXPECT_EQ(FinalAnswer().coverage.shards_total, 3U);
}

// Guards against new requests that are refused in a full region because the
// retry budget is empty, while leaves of another region are idle.
TEST_F(SuspectTest, RefusedCanaryMovesToAnotherRegionWithoutRetryBudget) {
  context_.environment.zones[1].region = "far";
  Start(/*proven=*/false);
  while (sent_.back().call.no_wait)
    Answer(sent_.size() - 1, LeafOutcome::kNoSlot);
  while (context_.retry_budget.TrySpend()) continue;
  const std::size_t waiting = sent_.size() - 1;
  Answer(waiting, LeafOutcome::kOverloaded);
  ASSERT_EQ(sent_.size(), waiting + 2);
  EXPECT_EQ(sent_.back().call.shard, sent_[waiting].call.shard);
  EXPECT_NE(sent_.back().call.leaf, sent_[waiting].call.leaf);
}

// Guards against new requests that call all leaves of an overloaded service.
TEST_F(SuspectTest, RefusedCanaryTriesFewLeavesWithoutRetryBudget) {
  constexpr std::uint32_t replica_count = 12;
  FakeContext wide(clock_, 1, replica_count);
  for (std::uint32_t j = 0; j < replica_count; ++j) wide.Hold(j, {7});
  while (wide.retry_budget.TrySpend()) continue;
  QueryRunner runner(clock_, wide, request_);
  std::vector<Action> out;
  runner.Start(out);
  std::size_t refusals = 0;
  while (!runner.finished()) {
    ASSERT_TRUE(std::holds_alternative<SendCall>(out.back()));
    const model::LeafCall call = std::get<SendCall>(out.back()).call;
    if (!call.no_wait) ++refusals;
    runner.OnLeafReply(ReplyTo(call, call.no_wait ? LeafOutcome::kNoSlot
                                                  : LeafOutcome::kOverloaded),
                       out);
  }
  // The first kMaxFullCanaryLeaves refusals are each followed by a retry that
  // needs no retry budget.
  EXPECT_EQ(refusals, QueryRunner::kMaxFullCanaryLeaves + 1);
}

constexpr milliseconds kCallerDelay{6};
constexpr milliseconds kMaxCallerWait{200};

// Simulates the hosts of a deployment in virtual time. Updates of suspects and
// leaf states reach the hosts after 20 ms; the caller is 3 ms away from each
// host. Exclusive calls run without waiting for the grant of an arbiter.
class HostSimulation {
 public:
  HostSimulation(std::uint32_t hosts,
                 std::function<bool(const model::LeafCall&)> crashes_leaf)
      : crashes_leaf_(std::move(crashes_leaf)) {
    for (std::uint32_t i = 0; i < hosts; ++i) {
      contexts_.push_back(std::make_unique<FakeContext>(
          clock_, /*shards=*/10, /*replicas=*/hosts, /*incarnation=*/i));
      contexts_[i]->own_zone = {"z" + std::to_string(i)};
      for (std::uint32_t j = 0; j < hosts; ++j) contexts_[i]->Hold(j, {7});
    }
  }

  // Runs `request` at the host with the index `host` until its final reply.
  model::CallerReply Run(std::uint32_t host, model::CallerRequest request) {
    request.deadline = clock_.Now() + milliseconds(1000);
    QueryRunner runner(clock_, *contexts_[host], request);
    std::optional<model::CallerReply> reply;
    std::vector<Action> out;
    runner.Start(out);
    Apply(host, runner, out, reply);
    while (!reply) {
      auto next = *runner.NextWakeup();
      if (!events_.empty()) next = std::min(next, events_.begin()->first);
      clock_.AdvanceTo(std::max(next, clock_.Now()));
      RunDueEvents();
      runner.Tick(out);
      Apply(host, runner, out, reply);
    }
    // The reply and the repeat take 3 ms each, so the repeat reaches the next
    // host after 6 ms at the earliest. The caller repeats a refused request
    // after the retry time of the refusal.
    const auto* refusal = std::get_if<model::Refusal>(&*reply);
    const bool must_wait =
        refusal != nullptr && refusal->retry_after > kCallerDelay;
    // A block lasts 10 min. The caller waits at most kMaxCallerWait, so that
    // it also repeats the request while it is blocked.
    Advance(must_wait ? std::min(refusal->retry_after, kMaxCallerWait)
                      : kCallerDelay);
    return *reply;
  }

  const std::set<model::LeafName>& crashed_leaves() const {
    return crashed_leaves_;
  }

  void Advance(base::Duration time) {
    clock_.Advance(time);
    RunDueEvents();
  }

 private:
  void Schedule(base::Duration delay, std::function<void()> event) {
    events_.emplace(clock_.Now() + delay, std::move(event));
  }

  void RunDueEvents() {
    while (!events_.empty() && events_.begin()->first <= clock_.Now()) {
      const auto event = events_.begin()->second;
      events_.erase(events_.begin());
      event();
    }
  }

  void DeliverUpdate(const quarantine::PublishSuspects& publish) {
    for (auto& context : contexts_) {
      Schedule(milliseconds(20), [&context, publish] {
        context->suspects.Merge(publish.update);
      });
    }
  }

  void Apply(std::uint32_t host, QueryRunner& runner, std::vector<Action>& out,
             std::optional<model::CallerReply>& reply) {
    for (const Action& action : std::exchange(out, {})) {
      if (const auto* f = std::get_if<Finish>(&action)) reply = f->reply;
      if (const auto* send = std::get_if<SendCall>(&action)) {
        Schedule(milliseconds(1), [this, host, &runner, send = *send, &reply] {
          RunAtDestination(host, runner, send, reply);
        });
      }
    }
  }

  // Runs a call at its destination. Updates that are published by the host of
  // the query are dropped, so that the other hosts learn of a crash only from
  // the owner of the leaf, 20 ms later.
  void RunAtDestination(std::uint32_t host, QueryRunner& runner,
                        const SendCall& send,
                        std::optional<model::CallerReply>& reply) {
    const model::LeafCall& call = send.call;
    if (reply || crashed_leaves_.contains(call.leaf)) return;
    auto answer = std::make_shared<model::LeafReply>();
    answer->id = call.id;
    answer->leaf = call.leaf;
    answer->version = call.version;
    answer->shard = call.shard;
    answer->shard_count = call.shard_count;
    answer->outcome = LeafOutcome::kOk;
    if (crashes_leaf_(call)) CrashLeaf(call, *answer);
    Schedule(milliseconds(1), [this, host, &runner, answer, &reply] {
      if (reply) return;
      std::vector<Action> out;
      runner.OnLeafReply(*answer, out);
      Apply(host, runner, out, reply);
    });
  }

  void CrashLeaf(const model::LeafCall& call, model::LeafReply& answer) {
    answer.outcome = LeafOutcome::kLeafCrashed;
    crashed_leaves_.insert(call.leaf);
    const auto owner = contexts_[0]->ownership.Owner(call.leaf)->value;
    std::vector<quarantine::Action> published;
    // The name of a host ends with its index.
    contexts_[owner.back() - '0']->suspects.OnLeafCrash(
        {{call.fingerprint, call.exclusive}}, published);
    for (const auto& publish : published) {
      DeliverUpdate(std::get<quarantine::PublishSuspects>(publish));
    }
    PublishLeafDown(call.leaf);
  }

  // The owner also publishes that the leaf is down, so that later requests use
  // other leaves.
  void PublishLeafDown(const model::LeafName& leaf) {
    model::LeafState state;
    state.leaf = leaf;
    // Higher than that of every other state, so that this one replaces them.
    state.sequence = ~std::uint64_t{0};
    state.health = model::LeafHealth::kDown;
    for (auto& context : contexts_) {
      Schedule(milliseconds(20),
               [&context, state] { context->leaves.Merge(state); });
    }
  }

  std::set<model::LeafName> crashed_leaves_;
  std::function<bool(const model::LeafCall&)> crashes_leaf_;
  base::ManualClock clock_;
  std::vector<std::unique_ptr<FakeContext>> contexts_;
  std::multimap<base::TimePoint, std::function<void()>> events_;
};

model::CallerRequest KillingRequest() {
  model::CallerRequest request;
  request.service = {"desk"};
  request.payload = "kills";
  return request;
}

bool CrashesEveryLeaf(const model::LeafCall& call) {
  return call.payload == "kills";
}

// Guards against a request that crashes a leaf for each host that it is sent
// to.
TEST(KillingRequestTest, AtMostTwoLeavesCrashAtSixHosts) {
  HostSimulation simulation(6, CrashesEveryLeaf);
  for (std::uint32_t i = 0; i < 30; ++i)
    simulation.Run(i % 6, KillingRequest());
  EXPECT_EQ(simulation.crashed_leaves().size(), 2U);
}

// Guards against a request that is never blocked, because it crashes the leaves
// of one shard only and its canary succeeds on other shards. The retry must go
// to the shard of the crash.
TEST(KillingRequestTest, RequestThatCrashesOneShardOnlyIsBlockedToo) {
  for (std::uint32_t shard = 0; shard < 10; ++shard) {
    HostSimulation simulation(6, [shard](const model::LeafCall& call) {
      return CrashesEveryLeaf(call) && call.shard == shard;
    });
    for (std::uint32_t i = 0; i < 30; ++i)
      simulation.Run(i % 6, KillingRequest());
    EXPECT_LE(simulation.crashed_leaves().size(), 2U);
  }
}

// Guards against requests that remain suspect although their leaf crashed for
// another reason.
TEST(KillingRequestTest, HarmlessRequestIsClearedAtAllHosts) {
  // The first call crashes its leaf, all later ones succeed.
  int crashes = 1;
  HostSimulation simulation(
      6, [&](const model::LeafCall&) { return crashes-- > 0; });
  for (std::uint32_t i = 0; i < 6; ++i) {
    const auto reply = simulation.Run(i, KillingRequest());
    const auto* answer = std::get_if<model::Answer>(&reply);
    ASSERT_NE(answer, nullptr);
    EXPECT_EQ(answer->coverage.shards_answered, 10U);
    simulation.Advance(milliseconds(50));
  }
  EXPECT_EQ(simulation.crashed_leaves().size(), 1U);
}

}  // namespace
}  // namespace berylreach::query
