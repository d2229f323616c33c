// Guards against one request that kills more than two leaves, and against
// innocent requests that stay suspect.
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

TEST_F(SuspectTest, RetryAfterADeathRunsAloneThroughTheArbiter) {
  Start(false);
  Answer(0, LeafOutcome::kLeafDied);
  ASSERT_EQ(sent_.size(), 2U);
  EXPECT_TRUE(sent_[1].call.alone);
  EXPECT_EQ(sent_[1].to,
            quarantine::ArbiterOf(Fingerprint(), context_.members)->host);
  Answer(1);
  // Cleared: the remaining shards run as usual.
  ASSERT_EQ(sent_.size(), 4U);
  EXPECT_FALSE(sent_[2].call.alone);
  EXPECT_EQ(context_.suspects.TrustLevelOf(Fingerprint()),
            quarantine::TrustLevel::kProven);
}

// A refusal that is held back to keep the caller from repeating the request
// would break the rule that a final reply is given at once; it states when a
// repeat meets only hosts that have heard of the deaths.
TEST_F(SuspectTest, RefusalAfterADeathIsGivenAtOnceWithATimeToComeBack) {
  Start(false);
  Answer(0, LeafOutcome::kLeafDied);
  Answer(1, LeafOutcome::kLeafDied);
  EXPECT_TRUE(runner_->finished());
  EXPECT_EQ(FinalRefusal().code, model::ErrorCode::kRequestBlocked);
  EXPECT_EQ(FinalRefusal().ran, model::Ran::kMayHaveRun);
  EXPECT_GE(FinalRefusal().retry_after,
            quarantine::Quarantine::kPropagationTime);
}

TEST_F(SuspectTest, CanaryAndItsHedgeDyingBlocks) {
  WarmLatency();
  Start(false);
  Wait(milliseconds(10));
  // A second hedge would be a third leaf.
  Wait(milliseconds(10));
  ASSERT_EQ(sent_.size(), 2U);
  Answer(0, LeafOutcome::kLeafDied);
  EXPECT_EQ(sent_.size(), 2U);
  Answer(1, LeafOutcome::kLeafDied);
  EXPECT_EQ(context_.suspects.TrustLevelOf(Fingerprint()),
            quarantine::TrustLevel::kBlocked);
}

TEST_F(SuspectTest, SuspectIsNeverHedged) {
  WarmLatency();
  std::vector<quarantine::Action> actions;
  context_.suspects.OnLeafCrash({{Fingerprint()}}, actions);
  Start(false);
  Wait(milliseconds(500));
  EXPECT_EQ(sent_.size(), 1U);
}

TEST_F(SuspectTest, LostConnectionOfAnUnprovenRequestMakesItSuspect) {
  Start(false);
  Answer(0, LeafOutcome::kLost);
  EXPECT_TRUE(sent_.at(1).call.alone);
}

TEST_F(SuspectTest, BlockedRequestIsRefusedWithTheRemainingTime) {
  std::vector<quarantine::Action> actions;
  context_.suspects.OnSecondCrash(Fingerprint(), actions);
  Start(false);
  EXPECT_TRUE(sent_.empty());
  EXPECT_EQ(FinalRefusal().code, model::ErrorCode::kRequestBlocked);
  EXPECT_EQ(FinalRefusal().ran, model::Ran::kNotRun);
  EXPECT_EQ(FinalRefusal().retry_after, quarantine::Quarantine::kEntryLifetime);
}

// Another copy of the request has killed the leaf for which this one waited.
TEST_F(SuspectTest, CanaryRefusedAsSuspectGoesOnAlone) {
  Start(false);
  EXPECT_TRUE(sent_[0].call.canary);
  Answer(0, LeafOutcome::kSuspect);
  ASSERT_EQ(sent_.size(), 2U);
  EXPECT_TRUE(sent_[1].call.alone);
  Answer(1, LeafOutcome::kOverloaded);
  EXPECT_EQ(FinalRefusal().ran, model::Ran::kNotRun);
  EXPECT_GE(FinalRefusal().retry_after,
            quarantine::Quarantine::kPropagationTime);
}

TEST_F(SuspectTest, CopiesAtAllHostsChooseTheSameLeaf) {
  Start(false);
  for (std::uint64_t i = 2; i < 8; ++i) {
    FakeContext other(clock_, 3, 2, i);
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

TEST_F(SuspectTest, CanaryPassesByLeavesWithoutASlotThenWaitsAtTheFirst) {
  Start(false);
  for (std::size_t i = 0; i < QueryRunner::kMaxCanaryMoves; ++i) {
    EXPECT_TRUE(sent_.at(i).call.no_wait);
    Answer(i, LeafOutcome::kNoSlot);
  }
  ASSERT_EQ(sent_.size(), QueryRunner::kMaxCanaryMoves + 1);
  EXPECT_EQ(sent_.back().call.leaf, sent_.front().call.leaf);
  EXPECT_FALSE(sent_.back().call.no_wait);
  std::set<model::LeafName> leaves;
  for (const SendCall& send : sent_) leaves.insert(send.call.leaf);
  EXPECT_EQ(leaves.size(), QueryRunner::kMaxCanaryMoves);
  Answer(sent_.size() - 1);
  // Shards that were passed by run with the rest of the fan-out.
  for (std::size_t i = QueryRunner::kMaxCanaryMoves + 1; i < sent_.size(); ++i)
    EXPECT_FALSE(sent_[i].call.canary);
  Answer(sent_.size() - 2);
  Answer(sent_.size() - 1);
  EXPECT_EQ(FinalAnswer().coverage.shards_answered, 3U);
  EXPECT_EQ(FinalAnswer().coverage.shards_total, 3U);
}

// Guards against new requests that are refused in a full region for want of
// retry budget while leaves of another region are idle.
TEST_F(SuspectTest, RefusedCanaryOfAFullRegionLeavesItWithoutARetry) {
  context_.environment.zones[1].region = "far";
  Start(false);
  while (sent_.back().call.no_wait)
    Answer(sent_.size() - 1, LeafOutcome::kNoSlot);
  while (context_.retry_budget.TrySpend()) continue;
  const std::size_t waiting = sent_.size() - 1;
  Answer(waiting, LeafOutcome::kOverloaded);
  ASSERT_EQ(sent_.size(), waiting + 2);
  EXPECT_EQ(sent_.back().call.shard, sent_[waiting].call.shard);
  EXPECT_NE(sent_.back().call.leaf, sent_[waiting].call.leaf);
}

// Guards against a full service whose new requests try all of its leaves.
TEST_F(SuspectTest, RefusedCanaryTriesFewLeavesWithoutARetry) {
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
  EXPECT_EQ(refusals, QueryRunner::kMaxCanaryMoves + 1);
}

constexpr milliseconds kWay{6};
constexpr milliseconds kImpatience{200};

// Six hosts of a deployment with 20 ms between them and 3 ms to the caller, in
// virtual time. Owners relay, arbiters grant and pushes are delayed.
class Fleet {
 public:
  Fleet(std::uint32_t hosts, std::function<bool(const model::LeafCall&)> kills)
      : kills_(std::move(kills)) {
    for (std::uint32_t i = 0; i < hosts; ++i) {
      contexts_.push_back(std::make_unique<FakeContext>(clock_, 10, hosts, i));
      contexts_[i]->own_zone = {"z" + std::to_string(i)};
      for (std::uint32_t j = 0; j < hosts; ++j) contexts_[i]->Hold(j, {7});
    }
  }

  // Runs `request` at host `at` until its final reply.
  model::CallerReply Run(std::uint32_t at, model::CallerRequest request) {
    request.deadline = clock_.Now() + milliseconds(1000);
    QueryRunner runner(clock_, *contexts_[at], request);
    std::optional<model::CallerReply> reply;
    std::vector<Action> out;
    runner.Start(out);
    Apply(at, runner, out, reply);
    while (!reply) {
      auto next = *runner.NextWakeup();
      if (!events_.empty()) next = std::min(next, events_.begin()->first);
      clock_.AdvanceTo(std::max(next, clock_.Now()));
      RunDueEvents();
      runner.Tick(out);
      Apply(at, runner, out, reply);
    }
    // The caller's way to the next host, at least 6 ms; it comes back when
    // told.
    const auto* refusal = std::get_if<model::Refusal>(&*reply);
    const bool told = refusal != nullptr && refusal->retry_after > kWay;
    // A block lasts 10 min, in which the caller repeats all the same.
    Advance(told ? std::min(refusal->retry_after, kImpatience) : kWay);
    return *reply;
  }

  const std::set<model::LeafName>& dead() const { return dead_; }

  void Advance(base::Duration time) {
    clock_.Advance(time);
    RunDueEvents();
  }

 private:
  void At(base::Duration delay, std::function<void()> event) {
    events_.emplace(clock_.Now() + delay, std::move(event));
  }

  void RunDueEvents() {
    while (!events_.empty() && events_.begin()->first <= clock_.Now()) {
      const auto event = events_.begin()->second;
      events_.erase(events_.begin());
      event();
    }
  }

  void Push(const quarantine::PublishSuspects& push) {
    for (auto& context : contexts_) {
      At(milliseconds(20),
         [&context, push] { context->suspects.Merge(push.update); });
    }
  }

  void Apply(std::uint32_t at, QueryRunner& runner, std::vector<Action>& out,
             std::optional<model::CallerReply>& reply) {
    for (const Action& action : std::exchange(out, {})) {
      if (const auto* f = std::get_if<Finish>(&action)) reply = f->reply;
      if (const auto* send = std::get_if<SendCall>(&action)) {
        At(milliseconds(1), [this, at, &runner, send = *send, &reply] {
          Serve(at, runner, send, reply);
        });
      }
    }
  }

  // Called at the destination. The entry host's own report is dropped, so that
  // only the owner's push tells the others, and only after 20 ms.
  void Serve(std::uint32_t at, QueryRunner& runner, const SendCall& send,
             std::optional<model::CallerReply>& reply) {
    const model::LeafCall& call = send.call;
    if (reply || dead_.contains(call.leaf)) return;
    auto answer = std::make_shared<model::LeafReply>();
    answer->id = call.id;
    answer->leaf = call.leaf;
    answer->version = call.version;
    answer->shard = call.shard;
    answer->shard_count = call.shard_count;
    answer->outcome = LeafOutcome::kOk;
    if (kills_(call)) Die(call, *answer);
    At(milliseconds(1), [this, at, &runner, answer, &reply] {
      if (reply) return;
      std::vector<Action> out;
      runner.OnLeafReply(*answer, out);
      Apply(at, runner, out, reply);
    });
  }

  void Die(const model::LeafCall& call, model::LeafReply& answer) {
    answer.outcome = LeafOutcome::kLeafDied;
    dead_.insert(call.leaf);
    const auto owner = contexts_[0]->ownership.Owner(call.leaf)->value;
    std::vector<quarantine::Action> pushes;
    contexts_[owner.back() - '0']->suspects.OnLeafCrash(
        {{call.fingerprint, call.alone}}, pushes);
    for (const auto& push : pushes) {
      Push(std::get<quarantine::PublishSuspects>(push));
    }
    PublishDown(call.leaf);
  }

  // The owner's state of the leaf follows its push, so that later requests use
  // other leaves.
  void PublishDown(const model::LeafName& leaf) {
    model::LeafState state;
    state.leaf = leaf;
    state.sequence = ~std::uint64_t{0};
    state.health = model::LeafHealth::kDown;
    for (auto& context : contexts_) {
      At(milliseconds(20), [&context, state] { context->leaves.Merge(state); });
    }
  }

  std::set<model::LeafName> dead_;
  std::function<bool(const model::LeafCall&)> kills_;
  base::ManualClock clock_;
  std::vector<std::unique_ptr<FakeContext>> contexts_;
  std::multimap<base::TimePoint, std::function<void()>> events_;
};

model::CallerRequest Killer() {
  model::CallerRequest request;
  request.service = {"desk"};
  request.payload = "kills";
  return request;
}

bool KillsAnywhere(const model::LeafCall& call) {
  return call.payload == "kills";
}

TEST(KillingRequestTest, SixHostsLoseAtMostTwoLeaves) {
  Fleet fleet(6, KillsAnywhere);
  for (std::uint32_t i = 0; i < 30; ++i) fleet.Run(i % 6, Killer());
  EXPECT_EQ(fleet.dead().size(), 2U);
}

// The canary passes on other shards, so that only the retry on the shard of the
// death can block the request.
TEST(KillingRequestTest, RequestThatKillsOneShardOnlyIsBlockedToo) {
  for (std::uint32_t shard = 0; shard < 10; ++shard) {
    Fleet fleet(6, [shard](const model::LeafCall& call) {
      return KillsAnywhere(call) && call.shard == shard;
    });
    for (std::uint32_t i = 0; i < 30; ++i) fleet.Run(i % 6, Killer());
    EXPECT_LE(fleet.dead().size(), 2U);
  }
}

// A leaf that dies for another reason must not keep its requests suspect.
TEST(KillingRequestTest, InnocentRequestIsClearedEverywhere) {
  int crashes = 1;
  Fleet fleet(6, [&](const model::LeafCall&) { return crashes-- > 0; });
  for (std::uint32_t i = 0; i < 6; ++i) {
    const auto reply = fleet.Run(i, Killer());
    const auto* answer = std::get_if<model::Answer>(&reply);
    ASSERT_NE(answer, nullptr);
    EXPECT_EQ(answer->coverage.shards_answered, 10U);
    fleet.Advance(milliseconds(50));
  }
  EXPECT_EQ(fleet.dead().size(), 1U);
}

}  // namespace
}  // namespace berylreach::query
