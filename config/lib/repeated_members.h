// Finds members that occur more than once in one JSON object. Private to the
// package.
#pragma once

#include <boost/json/value.hpp>
#include <string_view>

#include "berylreach/base/finding.h"

namespace berylreach::config {

/// Adds a finding for each repeated member in `text`, which must be valid JSON
/// that was parsed as `value`; returns false if there is any. Boost.JSON
/// silently keeps the last of two equal members, so that one of two settings of
/// an operator would be ignored.
bool RejectRepeatedMembers(std::string_view text,
                           const boost::json::value& value,
                           base::Findings& findings);

}  // namespace berylreach::config
