// Findings collect every problem of an input with its place, so that all are
// reported together.
#pragma once

#include <string>
#include <vector>

namespace berylreach::base {

/// One problem of a checked input.
struct Finding {
  /// JSON pointer (RFC 6901) to the offending value; empty for the whole input.
  std::string place;
  /// Lower-case sentence without a full stop.
  std::string message;

  friend bool operator==(const Finding&, const Finding&) = default;
};

/// All problems of one input; empty if it is valid.
using Findings = std::vector<Finding>;

}  // namespace berylreach::base
