// Guards against submits that are lost or applied twice, that overwrite another
// operator's document, or that report a document as in force when it is not.
#include <gmock/gmock.h>

#include "command_fixture.h"

namespace berylreach::berylctl {
namespace {

using testing::HasSubstr;

using SubmitTest = CommandFixture;

TEST_F(SubmitTest, KeepsMembersAndAppendsToTheHistory) {
  AddHosts("trial");
  FollowHead("trial");
  const auto before = Head("trial");
  options.note = "first";
  ASSERT_EQ(RunCommand("submit", {DocumentFile(2)}), ExitCode::kSuccess);
  const auto after = Head("trial");
  EXPECT_EQ(after.epoch, before.epoch);
  EXPECT_EQ(after.members, before.members);
  EXPECT_EQ(after.removed_hosts, before.removed_hosts);
  EXPECT_NE(after.nonce, before.nonce);
  EXPECT_EQ(after.document, (model::DocumentRef{1, Split(2).manifest.hash}));
  ASSERT_EQ(after.history.size(), 1U);
  EXPECT_EQ(after.history[0].author, "inge");
  EXPECT_EQ(after.history[0].note, "first");
  EXPECT_EQ(platform.stored_values.count("trial/parts/" + after.document.hash),
            1U);
  EXPECT_THAT(out.str(), HasSubstr("in force in trial on 2 hosts"));
}

TEST_F(SubmitTest, CreatesTheHeadOfANewEnvironment) {
  EXPECT_EQ(RunCommand("submit", {DocumentFile(2)}), ExitCode::kSuccess);
  EXPECT_EQ(Head("trial").document.version, 1U);
}

// Hosts accept at most 50 history entries in a head record.
TEST_F(SubmitTest, DropsTheOldestHistory) {
  for (std::uint32_t i = 0; i < 50; ++i) Accept("trial", 1 + i % 2);
  EXPECT_EQ(RunCommand("submit", {DocumentFile(9)}), ExitCode::kSuccess);
  const auto head = Head("trial");
  EXPECT_EQ(head.history.size(), 50U);
  EXPECT_EQ(head.history.front().document.version, 2U);
  EXPECT_EQ(head.history.back().document.version, 51U);
}

// A leaf in another zone has another owner, which would serve it without the
// wait of a takeover.
TEST_F(SubmitTest, RefusesToMoveALeafToAnotherZone) {
  Accept("trial", 1);
  model::Environment moved = Document(1);
  moved.zones.push_back({{"other"}, "other", model::ZoneState::kInService});
  moved.services.front().leaves.front().zone = {"other"};
  const auto file = WriteFile(config::EncodeDocument(moved));
  EXPECT_EQ(RunCommand("submit", {file}), ExitCode::kFindings);
  EXPECT_EQ(Head("trial").document.version, 1U);
}

// Writing again after a lost response would raise the version twice.
TEST_F(SubmitTest, ResolvesALostResponseByTheNonce) {
  platform.lost_responses = 1;
  EXPECT_EQ(RunCommand("submit", {DocumentFile(2)}), ExitCode::kSuccess);
  EXPECT_EQ(platform.head_writes, 1);
  EXPECT_EQ(Head("trial").document.version, 1U);
}

// A host that joins after a lost response replaces the nonce, so that only the
// history shows the write.
TEST_F(SubmitTest, ResolvesALostResponseByTheHistory) {
  platform.lost_responses = 1;
  platform.after_head_write = [this] { AddHosts("trial"); };
  FollowHead("trial");
  EXPECT_EQ(RunCommand("submit", {DocumentFile(2)}), ExitCode::kSuccess);
  EXPECT_EQ(platform.head_writes, 1);
  EXPECT_EQ(Head("trial").history.size(), 1U);
}

TEST_F(SubmitTest, RetriesALostWrite) {
  platform.lost_writes = 2;
  EXPECT_EQ(RunCommand("submit", {DocumentFile(2)}), ExitCode::kSuccess);
  EXPECT_EQ(platform.head_writes, 3);
  EXPECT_EQ(Head("trial").history.size(), 1U);
}

// A host that joins between read and write of the head record must neither be
// dropped from it nor make the submit fail.
TEST_F(SubmitTest, RetriesAfterAChangeOfMembers) {
  platform.before_head_write = [this] { AddHosts("trial"); };
  FollowHead("trial");
  EXPECT_EQ(RunCommand("submit", {DocumentFile(2)}), ExitCode::kSuccess);
  EXPECT_EQ(Head("trial").members.size(), 2U);
  EXPECT_EQ(Head("trial").document.version, 1U);
}

TEST_F(SubmitTest, ShowsTheChangesOfARacingOperator) {
  Accept("trial", 2);
  platform.before_head_write = [this] { Accept("trial", 5); };
  EXPECT_EQ(RunCommand("submit", {DocumentFile(3)}), ExitCode::kConflict);
  EXPECT_EQ(Head("trial").document.hash, Split(5).manifest.hash);
  EXPECT_THAT(err.str(), HasSubstr("based on version 1"));
  EXPECT_THAT(err.str(),
              HasSubstr("~ services/desk/leaves/desk-0/slots: 2 -> 5"));
}

TEST_F(SubmitTest, RefusesAnOldBaseVersion) {
  Accept("trial", 2);
  Accept("trial", 5);
  options.base_version = 1;
  EXPECT_EQ(RunCommand("submit", {DocumentFile(3)}), ExitCode::kConflict);
  EXPECT_EQ(platform.head_writes, 0);
  EXPECT_THAT(err.str(), HasSubstr("2 -> 5"));
}

TEST_F(SubmitTest, DoesNotWriteTheCurrentDocumentAgain) {
  Accept("trial", 2);
  EXPECT_EQ(RunCommand("submit", {DocumentFile(2)}), ExitCode::kSuccess);
  EXPECT_EQ(platform.head_writes, 0);
}

TEST_F(SubmitTest, NamesLaggingHosts) {
  AddHosts("trial");
  ReportStatus(Host("h1", 1001), {1, Split(2).manifest.hash});
  ReportStatus(Host("h2", 1002), {0, ""});
  EXPECT_EQ(RunCommand("submit", {DocumentFile(2)}), ExitCode::kHostsLag);
  EXPECT_GE(clock.Now().time_since_epoch(), options.timeout);
  EXPECT_THAT(err.str(), HasSubstr("h2 (a): has version 0"));
  EXPECT_THAT(err.str(), testing::Not(HasSubstr("h1 (a)")));
}

// A host without a lease takes no requests under the old document, so submit
// need not wait for it.
TEST_F(SubmitTest, DoesNotWaitForHostsWithoutALease) {
  AddHosts("trial");
  ReportStatus(Host("h1", 1001), {1, Split(2).manifest.hash});
  ReportStatus(Host("h2", 1002), {0, ""}, false);
  EXPECT_EQ(RunCommand("submit", {DocumentFile(2)}), ExitCode::kSuccess);
}

// A killed host never responds, but its peers remove it from the head record.
TEST_F(SubmitTest, StopsWaitingForRemovedHosts) {
  AddHosts("trial");
  ReportStatus(Host("h1", 1001), {1, Split(2).manifest.hash});
  int calls = 0;
  platform.before_host_call = [&] {
    if (++calls != 4) return;
    auto head = Head("trial");
    head.members.pop_back();
    PutHead("trial", head);
  };
  EXPECT_EQ(RunCommand("submit", {DocumentFile(2)}), ExitCode::kSuccess);
  EXPECT_LT(clock.Now().time_since_epoch(), options.timeout);
}

TEST_F(SubmitTest, ReportsFindingsWithoutWriting) {
  EXPECT_EQ(RunCommand("submit", {WriteFile("{}")}), ExitCode::kFindings);
  EXPECT_THAT(err.str(), HasSubstr("/zones: is missing"));
  EXPECT_TRUE(platform.stored_values.empty());
}

TEST_F(SubmitTest, ReportsAnUnreachableStore) {
  const std::string file = DocumentFile(2);
  platform.store_down = true;
  EXPECT_EQ(RunCommand("submit", {file}), ExitCode::kStoreUnreachable);
  platform.store_down = false;
  platform.before_head_write = [this] { platform.store_down = true; };
  platform.lost_writes = 1;
  EXPECT_EQ(RunCommand("submit", {file}), ExitCode::kStoreUnreachable);
  EXPECT_THAT(err.str(), HasSubstr("may or may not have been accepted"));
}

TEST_F(SubmitTest, RequiresAnAuthorAndAnEnvironment) {
  const std::string file = DocumentFile(2);
  options.author.clear();
  EXPECT_EQ(RunCommand("submit", {file}), ExitCode::kUsage);
  options.author = "inge";
  options.environment = "a/b";
  EXPECT_EQ(RunCommand("submit", {file}), ExitCode::kUsage);
}

}  // namespace
}  // namespace berylreach::berylctl
