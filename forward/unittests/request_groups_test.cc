// Tests groups of shards that other hosts run for a request, and requests that
// are themselves a group of another host's request.
#include <gtest/gtest.h>

#include "run_fixture.h"

namespace berylreach::forward {
namespace {

class RequestGroupsTest : public RunFixture {
 protected:
  RequestGroupsTest() : RunFixture(8) {
    host_ = std::make_shared<LeafRecord>(
        LeafEntry{.id = "b-1", .address = "1:1", .zone = "b", .slots = 16},
        Distance::kOtherRegion, "rb", clock_.Now());
  }

  /// Starts a request of which host b-1 runs the shards 4 to 7.
  void StartDelegated() {
    MakeRun(route_);
    run_->Delegate({{.host = host_, .shards = {4, 5, 6, 7}}});
    run_->Start(actions_);
    CollectActions();
  }

  /// Same as StartDelegated, with host b-2 as the backup.
  void StartWithBackup() {
    backup_ = std::make_shared<LeafRecord>(
        LeafEntry{.id = "b-2", .address = "1:2", .zone = "b", .slots = 16},
        Distance::kOtherRegion, "rb", clock_.Now());
    MakeRun(route_);
    run_->Delegate(
        {{.host = host_, .backup = backup_, .shards = {4, 5, 6, 7}}});
    run_->Start(actions_);
    CollectActions();
  }

  void StartAsGroup(std::size_t allowed_missing) {
    MakeRun(route_);
    run_->RestrictToSubset({.shards = {4, 5, 6, 7},
                            .allowed_missing = allowed_missing,
                            .partial_at = clock_.Now() + milliseconds(80)});
    run_->Start(actions_);
    CollectActions();
  }

  void GroupReplies(const std::vector<std::string>& signatures,
                    const std::string& records) {
    run_->OnGroupReply(groups_.at(0).call,
                       {.signatures = signatures, .records = records},
                       actions_);
    CollectActions();
  }

  void Progress(const std::vector<std::string>& signatures,
                const std::string& records) {
    run_->OnGroupProgress(groups_.at(0).call,
                          {.signatures = signatures, .records = records},
                          actions_);
    CollectActions();
  }

  void GroupFails(GroupFailure failure) {
    run_->OnGroupFailure(groups_.at(0).call, failure, actions_);
    CollectActions();
  }

  static std::string Record(char c) { return std::string(16, c); }

  std::shared_ptr<LeafRecord> host_;
  std::shared_ptr<LeafRecord> backup_;
};

TEST_F(RequestGroupsTest, MergesGroupWithItsOwnShards) {
  StartDelegated();
  ASSERT_EQ(started_.size(), 4U);
  ASSERT_EQ(groups_.size(), 1U);
  EXPECT_EQ(groups_[0].subset.shards, (std::vector<std::size_t>{4, 5, 6, 7}));
  EXPECT_EQ(groups_[0].subset.allowed_missing, 2U);
  EXPECT_LT(groups_[0].subset.partial_at,
            clock_.Now() + route_.objective - milliseconds(44));
  for (char c = 'a'; c < 'e'; ++c)
    Reply(started_[static_cast<std::size_t>(c - 'a')], Success(Record(c)));
  EXPECT_FALSE(reply_);
  GroupReplies({"g1", "g2", "g3", "g4"}, Record('z') + Record('b'));
  ASSERT_TRUE(reply_);
  EXPECT_EQ(reply_->refusal, Refusal::kNone);
  EXPECT_EQ(reply_->reply.body, Record('z') + Record('d'));
  EXPECT_EQ(reply_->signatures.size(), 8U);
  EXPECT_EQ(reply_->missing_shards, 0U);
}

// Guards against partial answers that are sent after the objective because the
// message to the other host had to wait for a new connection.
TEST_F(RequestGroupsTest,
       PartialAnswerIsDueEarlierWhereConnectionMustBeOpened) {
  StartDelegated();
  const base::Duration connected =
      groups_.at(0).subset.partial_at - clock_.Now();
  groups_.clear();
  unconnected_.insert("b-1");
  StartDelegated();
  const base::Duration unconnected =
      groups_.at(0).subset.partial_at - clock_.Now();
  EXPECT_EQ(unconnected, connected - 2 * TransitTime(Distance::kOtherRegion));
}

// Guards against answers that do not state the shards that a group lacks.
TEST_F(RequestGroupsTest, CountsShardsThatTheGroupLacksAsMissing) {
  StartDelegated();
  for (const StartLeafCall& call : started_) Reply(call, Success(Record('a')));
  GroupReplies({"g1", "g2"}, Record('z'));
  ASSERT_TRUE(reply_);
  EXPECT_EQ(reply_->signatures.size(), 6U);
  EXPECT_EQ(reply_->missing_shards, 2U);
}

// Guards against shards that no host calls because the other host is stopping
// or has another configuration.
TEST_F(RequestGroupsTest, CallsTheShardsOfHostThatDeclines) {
  StartDelegated();
  GroupFails(GroupFailure::kDeclined);
  ASSERT_EQ(started_.size(), 8U);
  for (const StartLeafCall& call : std::vector(started_))
    Reply(call, Success(Record('a')));
  ASSERT_TRUE(reply_);
  EXPECT_EQ(reply_->missing_shards, 0U);
}

// Guards against calls to a third leaf of a shard, beyond the route's attempts,
// after the host that ran the shard was lost.
TEST_F(RequestGroupsTest, DoesNotRepeatTheShardsOfLostHost) {
  StartDelegated();
  GroupFails(GroupFailure::kLost);
  EXPECT_EQ(started_.size(), 4U);
  ASSERT_TRUE(reply_);
  EXPECT_EQ(reply_->refusal, Refusal::kMayHaveRun);
  EXPECT_LE(reply_->retry_after, milliseconds(20));
}

// Guards against requests that fail because the shards of one lost host are
// missing.
TEST_F(RequestGroupsTest, BackupRunsTheShardsOfLostHost) {
  StartWithBackup();
  for (const StartLeafCall& call : std::vector(started_))
    Reply(call, Success(Record('a')));
  GroupFails(GroupFailure::kLost);
  EXPECT_FALSE(reply_);
  ASSERT_EQ(groups_.size(), 2U);
  EXPECT_EQ(groups_[1].host, backup_);
  EXPECT_EQ(groups_[1].subset.shards, groups_[0].subset.shards);
  EXPECT_TRUE(groups_[1].subset.repeats);
  run_->OnGroupReply(
      groups_[1].call,
      {.signatures = {"g1", "g2", "g3", "g4"}, .records = Record('z')},
      actions_);
  CollectActions();
  ASSERT_TRUE(reply_);
  EXPECT_EQ(reply_->missing_shards, 0U);
}

// Guards against a third host that runs the same shards.
TEST_F(RequestGroupsTest, BackupIsNotRepeated) {
  StartWithBackup();
  for (const StartLeafCall& call : std::vector(started_))
    Reply(call, Success(Record('a')));
  GroupFails(GroupFailure::kLost);
  ASSERT_EQ(groups_.size(), 2U);
  run_->OnGroupFailure(groups_[1].call, GroupFailure::kLost, actions_);
  CollectActions();
  ASSERT_TRUE(reply_);
  EXPECT_EQ(reply_->refusal, Refusal::kMayHaveRun);
  EXPECT_EQ(groups_.size(), 2U);
}

// Guards against callers who wait for a host that lost power: no connection is
// closed, so the loss shows only because the host does not report.
TEST_F(RequestGroupsTest, BackupRunsTheShardsOfHostThatDoesNotReport) {
  StartWithBackup();
  for (const StartLeafCall& call : std::vector(started_))
    Reply(call, Success(Record('a')));
  AdvanceTo(milliseconds(140));
  EXPECT_EQ(groups_.size(), 1U);
  AdvanceTo(milliseconds(170));
  EXPECT_EQ(abandoned_, 1U);
  ASSERT_EQ(groups_.size(), 2U);
  EXPECT_EQ(groups_[1].host, backup_);
}

// Guards against running the shards of a host twice because it is slow.
TEST_F(RequestGroupsTest, HostThatReportsIsNotReplaced) {
  StartWithBackup();
  AdvanceTo(milliseconds(120));
  Progress({"g1"}, Record('z'));
  AdvanceTo(milliseconds(200));
  EXPECT_EQ(groups_.size(), 1U);
  EXPECT_EQ(abandoned_, 0U);
}

// Guards against calls to more leaves of a shard than the route's attempts,
// because the lost host and the backup select different leaves.
TEST_F(RequestGroupsTest, ShardsWithMoreLeavesThanAttemptsAreNotRepeated) {
  PutLeaf("s5-c", "s5", "b");
  StartWithBackup();
  for (const StartLeafCall& call : std::vector(started_))
    Reply(call, Success(Record('a')));
  GroupFails(GroupFailure::kLost);
  ASSERT_TRUE(reply_);
  EXPECT_EQ(reply_->refusal, Refusal::kMayHaveRun);
  EXPECT_EQ(groups_.size(), 1U);
}

// Guards against repeated groups that exceed the budget of extra calls.
TEST_F(RequestGroupsTest, RepeatedGroupTakesItsCallsFromTheBudget) {
  while (budget_.TrySpend("s5", ExtraCall::kRetry)) {
  }
  MakeRun(route_);
  run_->RestrictToSubset({.shards = {4, 5, 6, 7},
                          .allowed_missing = 2,
                          .partial_at = clock_.Now() + milliseconds(80),
                          .repeats = true});
  run_->Start(actions_);
  CollectActions();
  EXPECT_EQ(started_.size(), 3U);
  EXPECT_LT(budget_.RemainingShare("s4"), 1.0);
}

// Guards against calls beyond the budget after two hosts in succession did not
// run a group.
TEST_F(RequestGroupsTest, ShardsThatTheBackupDeclinesAreExtraCalls) {
  while (budget_.TrySpend("s5", ExtraCall::kRetry)) {
  }
  StartWithBackup();
  GroupFails(GroupFailure::kLost);
  ASSERT_EQ(groups_.size(), 2U);
  started_.clear();
  run_->OnGroupFailure(groups_[1].call, GroupFailure::kDeclined, actions_);
  CollectActions();
  EXPECT_EQ(started_.size(), 3U) << "s5 has no budget left";
}

// Guards against a refusal that says that the request may have run although the
// other host has run nothing.
TEST_F(RequestGroupsTest, RefusalOfHostThatRanNothingStatesNotRun) {
  MakeRun(route_);
  run_->Delegate({{.host = host_, .shards = {0, 1, 2, 3, 4, 5, 6, 7}}});
  run_->Start(actions_);
  CollectActions();
  GroupFails(GroupFailure::kRefused);
  ASSERT_TRUE(reply_);
  EXPECT_EQ(reply_->refusal, Refusal::kNotRun);
  EXPECT_TRUE(started_.empty());
}

// Guards against an answer that misses the objective by waiting for a group
// that does not answer and is not needed for the minimum coverage.
TEST_F(RequestGroupsTest, AnswersInTimeWithoutSmallSilentGroup) {
  route_.minimum_coverage = 0.5;
  StartDelegated();
  for (const StartLeafCall& call : std::vector(started_))
    Reply(call, Success(Record('a')));
  EXPECT_FALSE(reply_);
  AdvanceTo(milliseconds(140));
  ASSERT_TRUE(reply_);
  EXPECT_EQ(reply_->missing_shards, 4U);
}

// Guards against callers who wait for a frozen host until their own timeout.
TEST_F(RequestGroupsTest, AbandonsSilentGroupAndRefusesAtOnce) {
  StartDelegated();
  for (const StartLeafCall& call : std::vector(started_))
    Reply(call, Success(Record('a')));
  AdvanceTo(milliseconds(301));
  ASSERT_TRUE(reply_);
  EXPECT_EQ(reply_->refusal, Refusal::kMayHaveRun);
  EXPECT_EQ(abandoned_, 1U);
}

// Guards against callers who wait for one frozen host after another.
TEST_F(RequestGroupsTest, TwoSilentHostsInTurnDelayTheRefusalNoLonger) {
  StartWithBackup();
  for (const StartLeafCall& call : std::vector(started_))
    Reply(call, Success(Record('a')));
  AdvanceTo(milliseconds(170));
  ASSERT_EQ(groups_.size(), 2U) << "the backup has not been asked";
  EXPECT_FALSE(reply_);
  AdvanceTo(milliseconds(301));
  ASSERT_TRUE(reply_);
  EXPECT_EQ(reply_->refusal, Refusal::kMayHaveRun);
  EXPECT_EQ(abandoned_, 2U);
}

// Guards against delegating a group although the transit of its messages takes
// longer than the objective.
TEST_F(RequestGroupsTest, KeepsShardsThatAnotherHostCannotAnswerInTime) {
  route_.objective = milliseconds(40);
  StartDelegated();
  EXPECT_TRUE(groups_.empty());
  EXPECT_EQ(started_.size(), 8U);
}

TEST_F(RequestGroupsTest, RunsOnlyTheShardsOfTheGroup) {
  StartAsGroup(2);
  ASSERT_EQ(started_.size(), 4U);
  EXPECT_EQ(started_[0].leaf->entry().service, "s4");
  for (const StartLeafCall& call : std::vector(started_))
    Reply(call, Success(Record('a')));
  ASSERT_TRUE(reply_);
  EXPECT_EQ(reply_->signatures.size(), 4U);
  EXPECT_EQ(reply_->missing_shards, 0U);
}

// Guards against a group that delays the caller's answer by waiting for shards
// that the answer may lack.
TEST_F(RequestGroupsTest, GroupReportsInTimeWhatHasBeenAnswered) {
  StartAsGroup(2);
  Reply(started_[0], Success(Record('a')));
  Reply(started_[1], Success(Record('b')));
  AdvanceTo(milliseconds(79));
  EXPECT_TRUE(reports_.empty());
  AdvanceTo(milliseconds(81));
  ASSERT_EQ(reports_.size(), 1U);
  EXPECT_EQ(reports_[0].signatures.size(), 2U);
  EXPECT_EQ(reports_[0].records, Record('b') + Record('a'));
  EXPECT_FALSE(reply_);
}

// Guards against answers of shards that never reach the caller because they
// arrive after the group's first report.
TEST_F(RequestGroupsTest, GroupReportsLaterAnswersToo) {
  StartAsGroup(1);
  Reply(started_[0], Success(Record('a')));
  AdvanceTo(milliseconds(81));
  Reply(started_[1], Success(Record('b')));
  ASSERT_EQ(reports_.size(), 2U);
  EXPECT_EQ(reports_[1].signatures.size(), 2U);
  Reply(started_[2], Success(Record('c')));
  Reply(started_[3], Success(Record('d')));
  ASSERT_TRUE(reply_);
  EXPECT_EQ(reply_->signatures.size(), 4U);
}

// Guards against groups that continue after the sender has abandoned them.
TEST_F(RequestGroupsTest, GroupEndsWhenTheSenderAbandonsIt) {
  StartAsGroup(3);
  Reply(started_[0], Success(Record('a')));
  AdvanceTo(milliseconds(301));
  ASSERT_TRUE(reply_);
  EXPECT_EQ(reply_->missing_shards, 3U);
}

// Guards against a group that keeps running although more of its shards have
// failed than its answer may lack.
TEST_F(RequestGroupsTest, GroupThatCannotReachItsCoverageRefusesAtOnce) {
  StartAsGroup(1);
  Reply(started_[0], Success(Record('a')));
  for (const std::size_t i : {1U, 2U})
    Fail(started_[i], CallFailure::kMayHaveRun);
  for (std::size_t i = 4; i < started_.size(); ++i)
    Fail(StartLeafCall(started_[i]), CallFailure::kMayHaveRun);
  ASSERT_TRUE(reply_);
  EXPECT_EQ(reply_->refusal, Refusal::kMayHaveRun);
}

// Guards against partial answers that lack the shards that a running group has
// already reported.
TEST_F(RequestGroupsTest, AnswersInTimeWithWhatGroupsHaveReported) {
  StartDelegated();
  for (const StartLeafCall& call : std::vector(started_))
    Reply(call, Success(Record('a')));
  Progress({"g1", "g2"}, Record('z'));
  EXPECT_FALSE(reply_) << "the partial answer is not due yet";
  AdvanceTo(milliseconds(140));
  ASSERT_TRUE(reply_);
  EXPECT_EQ(reply_->signatures.size(), 6U);
  EXPECT_EQ(reply_->missing_shards, 2U);
  EXPECT_EQ(reply_->reply.body, Record('z') + Record('a'));
}

// Guards against a request that fails although the answer of a group that it
// lacks is about to arrive.
TEST_F(RequestGroupsTest, WaitsForGroupsWithTooFewAnswers) {
  StartDelegated();
  for (const StartLeafCall& call : std::vector(started_))
    Reply(call, Success(Record('a')));
  Progress({"g1"}, Record('z'));
  AdvanceTo(milliseconds(200));
  EXPECT_FALSE(reply_);
  Progress({"g1", "g2"}, Record('z'));
  ASSERT_TRUE(reply_);
  EXPECT_EQ(reply_->refusal, Refusal::kNone);
  EXPECT_EQ(reply_->missing_shards, 2U);
}

// Guards against losing reported answers together with their host.
TEST_F(RequestGroupsTest, KeepsWhatLostGroupHasReported) {
  StartDelegated();
  for (const StartLeafCall& call : std::vector(started_))
    Reply(call, Success(Record('a')));
  Progress({"g1", "g2"}, Record('z'));
  GroupFails(GroupFailure::kLost);
  ASSERT_TRUE(reply_);
  EXPECT_EQ(reply_->refusal, Refusal::kNone);
  EXPECT_EQ(reply_->missing_shards, 2U);
}

// Guards against a wrong coverage after a report of more answers than the group
// has shards.
TEST_F(RequestGroupsTest, InvalidReportCountsTheGroupAsLost) {
  StartDelegated();
  Progress({"g1", "g2", "g3", "g4", "g5"}, Record('z'));
  ASSERT_TRUE(reply_);
  EXPECT_EQ(reply_->refusal, Refusal::kMayHaveRun);
}

}  // namespace
}  // namespace berylreach::forward
