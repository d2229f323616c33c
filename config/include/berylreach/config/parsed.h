// The result of parsing: a value, or all problems of the input.
#pragma once

#include <optional>

#include "berylreach/base/finding.h"

namespace berylreach::config {

/// Result of a parse function. `value` is set if and only if `findings` is
/// empty.
template <typename T>
struct Parsed {
  std::optional<T> value;
  /// All problems of the input.
  base::Findings findings;
};

}  // namespace berylreach::config
