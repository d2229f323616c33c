// Runs each Lua file in testing/scenarios as a separate test. The head of each
// file says which failure it guards against.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

#include "berylreach/testing/scenario_runner.h"

namespace berylreach::testing {
namespace {

constexpr std::uint64_t kSeed = 1;

std::vector<std::string> Scenarios() {
  const std::string directory = BERYLREACH_SOURCE_DIR "/testing/scenarios";
  std::vector<std::string> names;
  for (const auto& entry : std::filesystem::directory_iterator(directory)) {
    if (entry.path().extension() == ".lua")
      names.push_back(entry.path().stem().string());
  }
  std::sort(names.begin(), names.end());
  return names;
}

class ScenarioTest : public ::testing::TestWithParam<std::string> {};

TEST_P(ScenarioTest, Holds) {
  const std::string path =
      BERYLREACH_SOURCE_DIR "/testing/scenarios/" + GetParam() + ".lua";
  for (const std::string& failure : RunScenario(path, kSeed))
    ADD_FAILURE() << failure << " (" << GetParam() << ", seed " << kSeed << ")";
}

INSTANTIATE_TEST_SUITE_P(Lua, ScenarioTest, ::testing::ValuesIn(Scenarios()),
                         [](const ::testing::TestParamInfo<std::string>& info) {
                           return info.param;
                         });

}  // namespace
}  // namespace berylreach::testing
