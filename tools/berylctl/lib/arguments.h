// Checks of the command line. Private to the package.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "berylreach/berylctl/options.h"
#include "berylreach/berylctl/result.h"

namespace berylreach::berylctl {

/// Fails unless the command has `min` to `max` arguments.
Result<void> RequireArguments(const Options& options, std::size_t min,
                              std::size_t max);

/// Fails unless `value` can be the name of an environment; `flag` names its
/// source in the message.
Result<void> RequireEnvironment(const std::string& value,
                                std::string_view flag);

/// Fails unless an author is given.
Result<void> RequireAuthor(const Options& options);

}  // namespace berylreach::berylctl
