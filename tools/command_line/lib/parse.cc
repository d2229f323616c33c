// Parses command lines whose flags are defined with gflags.
#include "berylreach/command_line/parse.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <string_view>

namespace berylreach::command_line {
namespace {

/// Sets one flag. Uses `next` as its value if the flag needs one and `argument`
/// holds none. Returns the number of arguments used, 0 for an invalid flag.
int SetFlag(std::string_view argument, const char* next) {
  argument.remove_prefix(
      std::min(argument.find_first_not_of('-'), std::size_t{2}));
  const std::size_t equals = argument.find('=');
  std::string name(argument.substr(0, equals));
  std::replace(name.begin(), name.end(), '-', '_');
  gflags::CommandLineFlagInfo info;
  if (!gflags::GetCommandLineFlagInfo(name.c_str(), &info)) return 0;
  std::string value;
  int used = 1;
  if (equals != std::string_view::npos) {
    value = argument.substr(equals + 1);
  } else if (info.type == "bool") {
    value = "true";
  } else if (next != nullptr) {
    value = next;
    used = 2;
  } else {
    return 0;
  }
  const std::string set =
      gflags::SetCommandLineOption(name.c_str(), value.c_str());
  return set.empty() ? 0 : used;
}

}  // namespace

std::optional<std::string> Parse(int argc, char** argv,
                                 std::vector<std::string>& positional) {
  for (int i = 1; i < argc;) {
    const std::string_view argument = argv[i];
    if (argument.size() < 2 || argument.front() != '-') {
      positional.emplace_back(argument);
      ++i;
      continue;
    }
    const int used = SetFlag(argument, i + 1 < argc ? argv[i + 1] : nullptr);
    if (used == 0) return std::string(argument);
    i += used;
  }
  return std::nullopt;
}

bool IsSet(const char* flag) {
  std::string value;
  return gflags::GetCommandLineOption(flag, &value) && value == "true";
}

}  // namespace berylreach::command_line
