// Tests of the encoding of version reports.
#include "berylreach/gateway/version_report_codec.h"

#include <gtest/gtest.h>

#include <limits>

namespace berylreach::gateway {
namespace {

forward::VersionShiftReport Report() {
  return {.host = "h\"1",
          .incarnation = std::numeric_limits<std::uint64_t>::max(),
          .sequence = 7,
          .service = "s",
          .target_version = "v2",
          .order = {.era = 2, .revision = 30},
          .step = 3,
          .state = forward::ShiftState::kRunning,
          .stage = forward::ShiftStage::kLoad,
          .elapsed = std::chrono::milliseconds(1500),
          .old_calls_running = true,
          .rows = {{"r", "za", "leaf-1", {10, 2, 3}},
                   {"r", "zb", "", {100, 0, 1}}}};
}

TEST(VersionReportCodecTest, ReportsRoundTrip) {
  EXPECT_EQ(ParseVersionReport(FormatVersionReport(Report())), Report());
  forward::VersionShiftReport other = Report();
  other.rows.clear();
  for (const auto state :
       {forward::ShiftState::kComplete, forward::ShiftState::kRolledBack}) {
    for (const auto stage :
         {forward::ShiftStage::kObserve, forward::ShiftStage::kFull}) {
      other.state = state;
      other.stage = stage;
      EXPECT_EQ(ParseVersionReport(FormatVersionReport(other)), other);
    }
  }
}

TEST(VersionReportCodecTest, AnswersRoundTrip) {
  const forward::VersionReportAnswer answer{.service = "s",
                                            .accepted = true,
                                            .order = {.era = 1, .revision = 2},
                                            .step = 3};
  EXPECT_EQ(ParseVersionReportAnswer(FormatVersionReportAnswer(answer)),
            answer);
}

// Guards against evidence that is made up from malformed messages: counts that
// contradict each other, numbers out of range and members of another type.
TEST(VersionReportCodecTest, MalformedReportsAreRejected) {
  const std::string valid = FormatVersionReport(Report());
  const auto with = [&valid](const std::string& part,
                             const std::string& replacement) {
    std::string text = valid;
    const std::size_t at = text.find(part);
    EXPECT_NE(at, std::string::npos) << part;
    return text.replace(at, part.size(), replacement);
  };
  for (const std::string& text :
       {std::string(), std::string("[]"), std::string("{}"),
        valid.substr(0, valid.size() - 1), valid + "}",
        with("\"sequence\":7", "\"sequence\":-1"),
        with("\"sequence\":7", "\"sequence\":1.5"),
        with("\"service\":\"s\"", "\"service\":\"\""),
        with("\"service\":\"s\"", "\"service\":1"),
        with("\"state\":\"running\"", "\"state\":\"walking\""),
        with("\"elapsed_ms\":1500", "\"elapsed_ms\":1e300"),
        with("\"old_calls_running\":true", "\"old_calls_running\":1"),
        with("\"rows\":[", "\"rows\":[3,"),
        with("\"failed\":2", "\"failed\":11"), with("\"slow\":3", "\"slow\":9"),
        with("\"slow\":3", "\"slow\":18446744073709551615")})
    EXPECT_EQ(ParseVersionReport(text), std::nullopt) << text;
  for (const char* text : {"", "[]", "{}", R"({"service":"s","accepted":1})"})
    EXPECT_EQ(ParseVersionReportAnswer(text), std::nullopt) << text;
}

// Guards against a host with many leaves whose reports are all refused for
// their size.
TEST(VersionReportCodecTest, ReportsStayWithinTheirSize) {
  forward::VersionShiftReport report = Report();
  report.rows.assign(5000, {"route", "zone", "leaf", {10, 2, 3}});
  const std::string text = FormatVersionReport(report);
  EXPECT_LE(text.size(), kMaxVersionReportBytes);
  const auto parsed = ParseVersionReport(text);
  ASSERT_TRUE(parsed);
  EXPECT_GT(parsed->rows.size(), 500U);
  EXPECT_EQ(ParseVersionReport(text + std::string(kMaxVersionReportBytes, ' ')),
            std::nullopt);
}

}  // namespace
}  // namespace berylreach::gateway
