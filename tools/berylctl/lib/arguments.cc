// Validation of command line arguments.
#include "arguments.h"

#include <algorithm>

#include "berylreach/config/bounds.h"

namespace berylreach::berylctl {
namespace {

Failure UsageFailure(std::string message) {
  return {ExitCode::kUsage, std::move(message) + "; see berylctl --help"};
}

bool IsNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
}

}  // namespace

Result<void> RequireArguments(const Options& options, std::size_t min,
                              std::size_t max) {
  const std::size_t count = options.arguments.size();
  if (count >= min && count <= max) return Success();
  const std::string expected =
      min == max ? std::to_string(min)
                 : std::to_string(min) + " to " + std::to_string(max);
  return UsageFailure(options.command + " takes " + expected +
                      " arguments, not " + std::to_string(count));
}

Result<void> RequireEnvironment(const std::string& value,
                                std::string_view flag) {
  if (value.empty()) return UsageFailure(std::string(flag) + " is missing");
  const bool valid = value.size() <= config::kMaxNameBytes &&
                     std::all_of(value.begin(), value.end(), IsNameCharacter);
  if (!valid)
    return UsageFailure(std::string(flag) +
                        " must be the name of an environment");
  return Success();
}

Result<void> RequireAuthor(const Options& options) {
  if (options.author.empty()) return UsageFailure("--author is missing");
  return Success();
}

}  // namespace berylreach::berylctl
