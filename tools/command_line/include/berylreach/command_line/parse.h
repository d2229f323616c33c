// Parses command lines whose flags are defined with gflags.
#pragma once

#include <optional>
#include <string>
#include <vector>

namespace berylreach::command_line {

/// Sets the flags among the arguments, in any order, and appends all other
/// arguments to `positional`. Stops at the first invalid flag and returns it.
/// Replaces the parser of gflags, which ends the process with status 1 for an
/// invalid flag and for --help; that is not the documented exit code of either.
std::optional<std::string> Parse(int argc, char** argv,
                                 std::vector<std::string>& positional);

/// Whether a boolean flag is set. `flag` may also be one that gflags itself
/// defines, such as "help".
bool IsSet(const char* flag);

}  // namespace berylreach::command_line
