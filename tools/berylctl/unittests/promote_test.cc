// Guards against promotions of a document that is not in force on all hosts of
// the source environment, and against copies that differ from the source.
#include <gmock/gmock.h>

#include "command_fixture.h"

namespace berylreach::berylctl {
namespace {

using testing::HasSubstr;

class PromoteTest : public CommandFixture {
 protected:
  PromoteTest() {
    options.from = "trial";
    options.to = "production";
    AddHosts("trial");
    Accept("trial", 1);
    Accept("trial", 2);
    Accept("production", 1);
  }
};

TEST_F(PromoteTest, CopiesTheExactManifest) {
  FollowHead("trial");
  ASSERT_EQ(RunCommand("promote"), ExitCode::kSuccess) << err.str();
  const auto head = Head("production");
  EXPECT_EQ(head.document,
            (model::DocumentRef{2, Head("trial").document.hash}));
  EXPECT_EQ(head.history.back().note, "promoted from trial version 2");
  for (const auto& part : Split(2).parts)
    EXPECT_EQ(platform.stored_values.count("production/parts/" + part.hash),
              1U);
}

TEST_F(PromoteTest, RefusesADocumentThatIsNotInForceEverywhere) {
  const auto document = Head("trial").document;
  ReportStatus(Host("h1", 1001), document);
  ReportStatus(Host("h2", 1002), {1, Split(1).manifest.hash});
  EXPECT_EQ(RunCommand("promote"), ExitCode::kHostsLag);
  EXPECT_THAT(err.str(), HasSubstr("h2 (a): has version 1"));
  // A host without a lease has not served under the document.
  ReportStatus(Host("h2", 1002), document, false);
  EXPECT_EQ(RunCommand("promote"), ExitCode::kHostsLag);
  EXPECT_EQ(platform.head_writes, 0);
}

TEST_F(PromoteTest, RefusesAnEnvironmentWithoutHosts) {
  auto head = Head("trial");
  head.members.clear();
  PutHead("trial", head);
  EXPECT_EQ(RunCommand("promote"), ExitCode::kHostsLag);
}

TEST_F(PromoteTest, RefusesDamagedParts) {
  FollowHead("trial");
  platform.Put("trial/parts/" + Split(2).parts[1].hash, "{}");
  EXPECT_EQ(RunCommand("promote"), ExitCode::kFindings);
  EXPECT_EQ(platform.head_writes, 0);
}

TEST_F(PromoteTest, ConflictsWithARacingOperator) {
  FollowHead("trial");
  platform.before_head_write = [this] { Accept("production", 5); };
  EXPECT_EQ(RunCommand("promote"), ExitCode::kConflict);
  EXPECT_THAT(err.str(), HasSubstr("1 -> 5"));
}

}  // namespace
}  // namespace berylreach::berylctl
