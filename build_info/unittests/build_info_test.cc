// Tests how builds are described.
#include "berylreach/build_info/build_info.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace berylreach::build_info {
namespace {

constexpr BuildInfo kBuild{.version = "1.2.3",
                           .commit = "0123456789ab",
                           .compiler = "GNU 12.2.0",
                           .architecture = "aarch64"};

TEST(BuildInfoTest, DescribesBuildOnOneLine) {
  EXPECT_EQ(Describe(kBuild),
            "1.2.3, commit 0123456789ab, GNU 12.2.0, aarch64");
}

TEST(BuildInfoTest, MarksChangedSources) {
  BuildInfo changed = kBuild;
  changed.changed = true;
  EXPECT_EQ(CommitText(kBuild), "0123456789ab");
  EXPECT_EQ(CommitText(changed), "0123456789ab+changed");
}

TEST(BuildInfoTest, ListsFieldsForVersionFlag) {
  EXPECT_EQ(VersionText("berylctl", kBuild),
            "berylctl 1.2.3\n"
            "commit 0123456789ab\n"
            "compiler GNU 12.2.0\n"
            "architecture aarch64\n");
}

TEST(BuildInfoTest, FormatsMetric) {
  EXPECT_EQ(MetricLine(kBuild),
            "berylreach_build_info{version=\"1.2.3\",commit=\"0123456789ab\","
            "compiler=\"GNU 12.2.0\",architecture=\"aarch64\"} 1\n");
}

// Guards against programs of which nobody can tell from what they were built:
// a stale program was taken for a fault of the code (review case 8).
TEST(BuildInfoTest, NamesCommitOfThisBuild) {
  const BuildInfo build = ThisBuild();
  EXPECT_THAT(std::string(build.version),
              testing::MatchesRegex("[0-9]+\\.[0-9]+\\.[0-9]+"));
  EXPECT_THAT(std::string(build.commit),
              testing::MatchesRegex("unknown|[0-9a-f]+"));
  EXPECT_FALSE(build.compiler.empty());
  EXPECT_FALSE(build.architecture.empty());
}

}  // namespace
}  // namespace berylreach::build_info
