// Reads command lines with the flags of gflags.
#pragma once

#include <optional>
#include <string>
#include <vector>

namespace berylreach::command_line {

/// Sets the flags among the arguments, which may stand in any order, and
/// appends the others to `positional`. Returns the first wrong flag if there is
/// one. The parser of gflags ends the process with status 1 for a wrong flag
/// and for --help, which are not the documented exit codes.
std::optional<std::string> Parse(int argc, char** argv,
                                 std::vector<std::string>& positional);

/// Whether a flag of type bool is set, also one of gflags such as "help".
bool IsSet(const char* flag);

}  // namespace berylreach::command_line
