// Guards against queries with no final reply, two replies, results of several
// versions or a wrong coverage. Random sequences of replies, member removals,
// version changes and timeouts search for an order of events that leads to one
// of these faults.
#include <algorithm>
#include <map>
#include <random>

#include "runner_fixture.h"

namespace berylreach::query {
namespace {

constexpr std::uint32_t kShards = 5;
constexpr std::uint32_t kReplicas = 3;

// Runs one query under random events and checks its reply.
class RandomRun {
 public:
  explicit RandomRun(std::uint64_t seed) : random_(seed) {
    for (std::uint32_t j = 0; j < kReplicas; ++j) context_.Hold(j, {7, 8});
    for (int i = 0; i < 60; ++i) context_.latency.Add(milliseconds(10));
    request_.service = {"desk"};
    request_.payload = "{}";
    request_.key = std::to_string(seed);
    if (Chance(20)) request_.kind = model::RequestKind::kLookup;
    if (Chance(30)) request_.minimum_coverage = 0.7;
    request_.deadline = clock_.Now() + milliseconds(200);
    if (Chance(50)) {
      context_.suspects.OnCompleted(quarantine::FingerprintOf(request_));
    }
  }

  void Run() {
    QueryRunner runner(clock_, context_, request_);
    runner.Start(out_);
    Collect();
    for (int step = 0; step < 400 && !runner.done(); ++step) {
      Step(runner);
      Collect();
    }
    clock_.Advance(milliseconds(400));
    runner.Tick(out_);
    Collect();
    ASSERT_EQ(replies_.size(), 1U);
    EXPECT_TRUE(runner.finished());
    Check();
    EXPECT_EQ(Outstanding(), 0U);
  }

 private:
  bool Chance(int percent) {
    return static_cast<int>(random_() % 100) < percent;
  }

  void Step(QueryRunner& runner) {
    const int choice = static_cast<int>(random_() % 100);
    if (choice < 70 && !sent_.empty()) {
      runner.OnLeafReply(RandomReply(), out_);
    } else if (choice < 74) {
      runner.OnMemberRemoved({"h" + std::to_string(random_() % kReplicas)},
                             out_);
    } else if (choice < 80) {
      context_.HoldLeaf(random_() % kShards, random_() % kReplicas,
                        {6 + random_() % 4, 8 + random_() % 2});
    } else if (choice < 82) {
      ChangeZone();
    } else {
      clock_.Advance(milliseconds(random_() % 12));
      runner.Tick(out_);
    }
  }

  void ChangeZone() {
    auto& state = context_.environment.zones[random_() % kReplicas].state;
    state = state == model::ZoneState::kInService
                ? model::ZoneState::kOutOfService
                : model::ZoneState::kInService;
    ++context_.document_version;
  }

  // Replies to any call sent so far, so that late and duplicate replies occur.
  model::LeafReply RandomReply() {
    const model::LeafCall& call = sent_[random_() % sent_.size()].call;
    model::LeafReply reply;
    reply.id = call.id;
    reply.leaf = call.leaf;
    reply.version = call.version;
    reply.shard = call.shard;
    reply.shard_count = call.shard_count;
    reply.result =
        std::to_string(call.version) + "/" + std::to_string(call.shard);
    reply.retry_after = milliseconds(random_() % 50);
    reply.outcome = Chance(65) ? LeafOutcome::kOk
                               : static_cast<LeafOutcome>(random_() % 11);
    if (Chance(5)) reply.version = 6 + random_() % 4;
    if (Chance(5)) reply.shard = random_() % kShards;
    if (Chance(3)) ++reply.shard_count;
    const bool matches = reply.version == call.version &&
                         reply.shard == call.shard &&
                         reply.shard_count == call.shard_count;
    if (!matches) reply.result = "wrong";
    // Only the first reply to a call can prove that it did not run.
    const bool not_run = model::ProvesNotRun(reply.outcome);
    if (replies_.empty()) proven_not_run_.try_emplace(call.id, not_run);
    return reply;
  }

  void Collect() {
    for (Action& action : out_) {
      if (auto* send = std::get_if<SendCall>(&action)) {
        const auto& zones = context_.environment.zones;
        const auto zone = send->call.leaf.value.back() - '0';
        EXPECT_EQ(zones[zone].state, model::ZoneState::kInService);
        sent_.push_back(*send);
      }
      if (auto* finish = std::get_if<Finish>(&action)) {
        replies_.push_back(finish->reply);
      }
    }
    out_.clear();
  }

  std::uint32_t Outstanding() {
    std::uint32_t sum = 0;
    for (const auto& leaf : context_.environment.services[0].leaves) {
      sum += context_.leaves.Observation(leaf.name).outstanding;
    }
    return sum;
  }

  // A refusal may say "not run" only with proof for every call that was sent.
  void CheckRefusal(const model::Refusal& refusal) {
    EXPECT_GT(refusal.retry_after.count(), 0);
    if (refusal.execution != model::ExecutionStatus::kNotRun) return;
    for (const SendCall& send : sent_) {
      const auto found = proven_not_run_.find(send.call.id);
      EXPECT_TRUE(found != proven_not_run_.end() && found->second);
    }
  }

  void Check() {
    const auto* answer = std::get_if<model::Answer>(&replies_[0]);
    if (answer == nullptr) {
      CheckRefusal(std::get<model::Refusal>(replies_[0]));
      return;
    }
    const model::Coverage& coverage = answer->coverage;
    const bool lookup = request_.kind == model::RequestKind::kLookup;
    EXPECT_EQ(coverage.shards_total, lookup ? 1 : kShards);
    EXPECT_EQ(coverage.shards_answered, answer->results.size());
    EXPECT_EQ(coverage.missing.size(),
              coverage.shards_total - coverage.shards_answered);
    EXPECT_GE(coverage.shards_answered,
              request_.minimum_coverage * coverage.shards_total);
    std::map<std::uint32_t, int> seen;
    for (const auto& result : answer->results) {
      ++seen[result.shard];
      EXPECT_EQ(result.result, std::to_string(answer->version) + "/" +
                                   std::to_string(result.shard));
    }
    for (const auto& missing : coverage.missing) ++seen[missing.shard];
    EXPECT_EQ(seen.size(), coverage.shards_total);
  }

  std::mt19937_64 random_;
  base::ManualClock clock_;
  FakeContext context_{clock_, kShards, kReplicas};
  model::CallerRequest request_;
  std::vector<Action> out_;
  std::vector<SendCall> sent_;
  std::map<model::CallId, bool> proven_not_run_;
  std::vector<model::CallerReply> replies_;
};

TEST(QueryRandomTest, EachQueryGetsOneCorrectReply) {
  for (std::uint64_t seed = 1; seed <= 3000; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    RandomRun(seed).Run();
    if (testing::Test::HasFailure()) return;
  }
}

}  // namespace
}  // namespace berylreach::query
