// Validation of command line arguments. Private to the package.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "berylreach/berylctl/options.h"
#include "berylreach/berylctl/result.h"

namespace berylreach::berylctl {

/// Fails with kUsage unless the command has `min` to `max` arguments.
Result<void> RequireArguments(const Options& options, std::size_t min,
                              std::size_t max);

/// Fails with kUsage unless `value` is a valid name of an environment. The
/// message names `flag` as the source of the value.
Result<void> RequireEnvironment(const std::string& value,
                                std::string_view flag);

/// Fails with kUsage unless an author is given.
Result<void> RequireAuthor(const Options& options);

}  // namespace berylreach::berylctl
