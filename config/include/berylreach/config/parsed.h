// The result of parsing: a value, or everything that is wrong with the input.
#pragma once

#include <optional>

#include "berylreach/base/finding.h"

namespace berylreach::config {

/// Outcome of a parse function. `value` is set exactly if `findings` is empty.
template <typename T>
struct Parsed {
  std::optional<T> value;
  /// All problems of the input.
  base::Findings findings;
};

}  // namespace berylreach::config
