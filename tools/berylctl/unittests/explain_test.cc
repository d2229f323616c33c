// Guards against explanations that omit the log line with the cause, or that
// list effects before causes because the clocks of hosts differ.
#include <gmock/gmock.h>

#include "command_fixture.h"

namespace berylreach::berylctl {
namespace {

using testing::HasSubstr;
using testing::Not;

class ExplainTest : public CommandFixture {
 protected:
  /// A log line with the given time in microseconds and further fields `rest`.
  static std::string LogLine(int at, const std::string& host,
                             const std::string& rest) {
    return R"({"at_unix_us":)" + std::to_string(at) + R"(,"host":")" + host +
           R"(",)" + rest + "}\n";
  }

  /// A log line of an event with subject and detail.
  static std::string EventLine(int at, const std::string& host,
                               const std::string& event,
                               const std::string& subject,
                               const std::string& detail) {
    return LogLine(at, host,
                   R"("event":")" + event + R"(","subject":")" + subject +
                       R"(","detail":")" + detail + "\"");
  }

  /// Position of a text in the output; fails the test if it is absent.
  std::size_t PositionOf(const std::string& text) const {
    EXPECT_THAT(out.str(), HasSubstr(text));
    return out.str().find(text);
  }
};

TEST_F(ExplainTest, LateRequestShowsTheLeafThatWasBackedOff) {
  const std::string log = WriteFile(
      EventLine(1, "h1", "configuration_adopted", "9", "40 routes") +
      EventLine(2, "h1", "leaf_backed_off", "desk i-7", "other") +
      EventLine(3, "h1", "leaf_backed_off", "desk i-8", "other") +
      LogLine(4, "h1",
              R"("event":"request","id":"r1","status":200,"configuration":9,)"
              R"("unanswered":"desk: i-7 failed 132")") +
      EventLine(5, "h1", "leaf_backed_off", "desk i-7", "later"));
  ASSERT_EQ(RunCommand("explain", {"r1", log}), ExitCode::kSuccess);
  EXPECT_LT(PositionOf("configuration_adopted"), PositionOf("i-7 failed 132"));
  EXPECT_LT(PositionOf(R"("subject":"desk i-7")"),
            PositionOf("i-7 failed 132"));
  EXPECT_THAT(out.str(), Not(HasSubstr("i-8")));
  EXPECT_THAT(out.str(), Not(HasSubstr("later")));
}

TEST_F(ExplainTest, HostThatRanAGroupComesFirstAlthoughItsClockIsAhead) {
  const std::string log = WriteFile(
      LogLine(100, "h1",
              R"("event":"request","id":"r1","status":502,"configuration":9,)"
              R"("group_hosts":"h2")") +
      EventLine(9000001, "h2", "store_lost", "renewal", "no answer") +
      LogLine(9000002, "h2",
              R"("event":"request","id":"r1","status":502,"configuration":8)"));
  ASSERT_EQ(RunCommand("explain", {"r1", log}), ExitCode::kSuccess);
  EXPECT_LT(PositionOf("store_lost"), PositionOf(R"("configuration":8)"));
  EXPECT_LT(PositionOf(R"("configuration":8)"),
            PositionOf(R"("configuration":9)"));
}

TEST_F(ExplainTest, OmitsOtherRequestsAndCountsUnreadableLines) {
  const std::string log = WriteFile(
      "not a line\n" + LogLine(1, "h1", R"("event":"request","id":"r2")") +
      LogLine(2, "h1",
              R"("event":"request","id":"r1","cause":"host is full")"));
  ASSERT_EQ(RunCommand("explain", {"r1", log}), ExitCode::kSuccess);
  EXPECT_THAT(out.str(), HasSubstr("host is full"));
  EXPECT_THAT(out.str(), Not(HasSubstr("r2")));
  EXPECT_THAT(err.str(), HasSubstr("1 lines could not be read"));
}

TEST_F(ExplainTest, FailsForUnknownRequestsAndUnreadableFiles) {
  const std::string log = WriteFile("");
  EXPECT_EQ(RunCommand("explain", {"r1", log}), ExitCode::kFindings);
  EXPECT_EQ(RunCommand("explain", {"r1", "/no/such/file"}), ExitCode::kUsage);
  EXPECT_EQ(RunCommand("explain", {"r1"}), ExitCode::kUsage);
}

}  // namespace
}  // namespace berylreach::berylctl
