// Guards against output of the reading commands that omits a host, an event or
// a change, and against exit codes other than those that scripts rely on.
#include <gmock/gmock.h>

#include "berylreach/config/host_timeline.h"
#include "command_fixture.h"

namespace berylreach::berylctl {
namespace {

using std::chrono::microseconds;
using std::chrono::system_clock;
using testing::HasSubstr;

using ReadCommandsTest = CommandFixture;

TEST_F(ReadCommandsTest, CheckNeedsNoNetwork) {
  platform.store_down = true;
  EXPECT_EQ(RunCommand("check", {DocumentFile(2)}), ExitCode::kSuccess);
  EXPECT_THAT(out.str(), HasSubstr(Split(2).manifest.hash));
  options.json = true;
  EXPECT_EQ(RunCommand("check", {WriteFile("{}")}), ExitCode::kFindings);
  EXPECT_THAT(out.str(),
              HasSubstr(R"({"place":"/name","message":"is missing"})"));
  EXPECT_EQ(RunCommand("check", {"/no/such/file"}), ExitCode::kUsage);
}

TEST_F(ReadCommandsTest, DiffTakesFilesAndEnvironments) {
  Accept("trial", 2);
  Accept("trial", 3);
  Accept("production", 4);
  const std::string file = DocumentFile(5);
  ASSERT_EQ(RunCommand("diff", {file, "env:trial"}), ExitCode::kSuccess);
  EXPECT_THAT(out.str(), HasSubstr("5 -> 3"));
  ASSERT_EQ(RunCommand("diff", {"env:trial@1", "env:production"}),
            ExitCode::kSuccess);
  EXPECT_THAT(out.str(), HasSubstr("2 -> 4"));
  ASSERT_EQ(RunCommand("diff", {file, file}), ExitCode::kSuccess);
  EXPECT_EQ(out.str(), "");
  EXPECT_EQ(RunCommand("diff", {file, "env:trial@9"}), ExitCode::kUsage);
  options.json = true;
  ASSERT_EQ(RunCommand("diff", {file, "env:trial"}), ExitCode::kSuccess);
  EXPECT_EQ(
      out.str(),
      R"({"changes":[{"kind":"changed","place":"/services/0/leaves/0/slots",)"
      R"("subject":"services/desk/leaves/desk-0/slots","old":5,"new":3}]})"
      "\n");
}

// Operators edit the shown document and submit it, so it must parse as the same
// document.
TEST_F(ReadCommandsTest, ShowPrintsADocumentThatCanBeSubmittedAgain) {
  Accept("trial", 2);
  Accept("trial", 3);
  ASSERT_EQ(RunCommand("show", {"env:trial"}), ExitCode::kSuccess);
  const std::string shown = WriteFile(out.str());
  ASSERT_EQ(RunCommand("diff", {shown, "env:trial"}), ExitCode::kSuccess);
  EXPECT_EQ(out.str(), "");
  ASSERT_EQ(RunCommand("show", {"env:trial@1"}), ExitCode::kSuccess);
  EXPECT_THAT(out.str(), HasSubstr(R"("slots":2)"));
  EXPECT_EQ(RunCommand("show", {"env:trial@9"}), ExitCode::kUsage);
  EXPECT_EQ(RunCommand("show", {"env:production"}), ExitCode::kUsage);
  EXPECT_EQ(RunCommand("show", {"trial"}), ExitCode::kUsage);
}

TEST_F(ReadCommandsTest, HistoryShowsTheNewestDocumentFirst) {
  Accept("trial", 2);
  Accept("trial", 3);
  ASSERT_EQ(RunCommand("history"), ExitCode::kSuccess);
  EXPECT_LT(out.str().find("\n1  1970"), std::string::npos);
  EXPECT_EQ(out.str().substr(0, 6), "2  197");
}

TEST_F(ReadCommandsTest, StatusShowsHostsThatDoNotAnswer) {
  AddHosts("trial");
  Accept("trial", 2);
  ReportStatus(Host("h1", 1001), Head("trial").document);
  EXPECT_EQ(RunCommand("status"), ExitCode::kHostsLag);
  EXPECT_THAT(out.str(), HasSubstr("h1  a  127.0.0.1:1001  epoch 3  version 1  "
                                   "lease  ready  build unknown\n"));
  EXPECT_THAT(out.str(), HasSubstr("h2  a  127.0.0.1:1002  does not answer"));
  // Another process may respond at the address of a host that has exited.
  ReportStatus({{"h9"}, 7, {"a"}, "", "127.0.0.1:1002"},
               Head("trial").document);
  EXPECT_EQ(RunCommand("status"), ExitCode::kHostsLag);
  ReportStatus(Host("h2", 1002), Head("trial").document);
  EXPECT_EQ(RunCommand("status"), ExitCode::kSuccess);
}

// A second object, for the failure, would make the output invalid JSON.
TEST_F(ReadCommandsTest, StatusPrintsOneJsonValue) {
  AddHosts("trial");
  options.json = true;
  EXPECT_EQ(RunCommand("status"), ExitCode::kHostsLag);
  EXPECT_THAT(out.str(), HasSubstr("\"in_force\":false"));
  EXPECT_EQ(out.str().find('\n'), out.str().size() - 1);
}

TEST_F(ReadCommandsTest, TimelineMergesHostsByTime) {
  AddHosts("trial");
  const auto event = [](std::uint64_t sequence, int us, std::string type) {
    return model::TimelineEvent{sequence,
                                system_clock::time_point(microseconds(us)),
                                std::move(type), "s\x1b[0m", ""};
  };
  platform.host_responses[{"127.0.0.1:1001", "/v1/timeline?after=0"}] =
      config::EncodeHostTimeline(
          {{"h1"},
           {event(1, 10, "e1"), event(2, 30, "e4"), event(3, 30, "e5")}});
  EXPECT_EQ(RunCommand("timeline"), ExitCode::kHostsLag);
  platform.host_responses[{"127.0.0.1:1002", "/v1/timeline?after=0"}] =
      config::EncodeHostTimeline(
          {{"h2"}, {event(1, 10, "e2"), event(2, 20, "e3")}});
  ASSERT_EQ(RunCommand("timeline"), ExitCode::kSuccess);
  std::size_t last = 0;
  for (const char* type : {"e1", "e2", "e3", "e4", "e5"}) {
    const std::size_t at = out.str().find(type);
    ASSERT_NE(at, std::string::npos) << type;
    EXPECT_GE(at, last) << type;
    last = at;
  }
  // Texts of other processes must not control the operator's terminal.
  EXPECT_EQ(out.str().find('\x1b'), std::string::npos);
}

TEST_F(ReadCommandsTest, ReportsDamagedRecordsWrongUsageAndAnUnreachableStore) {
  platform.Put("trial/head", "{}");
  EXPECT_EQ(RunCommand("status"), ExitCode::kFindings);
  EXPECT_EQ(RunCommand("launch"), ExitCode::kUsage);
  EXPECT_EQ(RunCommand(""), ExitCode::kUsage);
  EXPECT_EQ(RunCommand("history", {"x"}), ExitCode::kUsage);
  platform.store_down = true;
  options.json = true;
  EXPECT_EQ(RunCommand("history"), ExitCode::kStoreUnreachable);
  EXPECT_THAT(out.str(), HasSubstr("\"code\":\"store_unreachable\""));
}

}  // namespace
}  // namespace berylreach::berylctl
