// Validation findings: every problem of an input with its location, so that all
// problems are reported together.
#pragma once

#include <string>
#include <vector>

namespace berylreach::base {

/// One problem found while validating an input.
struct Finding {
  /// JSON pointer (RFC 6901) to the invalid value; empty if the problem
  /// concerns the whole input.
  std::string location;
  /// Description of the problem in lower case, without a trailing full stop.
  std::string message;

  friend bool operator==(const Finding&, const Finding&) = default;
};

/// All problems of one input; empty if it is valid.
using Findings = std::vector<Finding>;

}  // namespace berylreach::base
