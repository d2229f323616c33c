// Finds members that occur more than once in one JSON object. Private to the
// package.
#pragma once

#include <boost/json/value.hpp>
#include <string_view>

#include "berylreach/base/finding.h"

namespace berylreach::config {

/// Adds a finding for each repeated member in `text`, which must be valid JSON
/// with the parsed value `value`. Returns false if there is a repeated member.
/// Boost.JSON silently keeps only the last of several members with the same
/// name, so the operator's other values would be ignored.
bool RejectRepeatedMembers(std::string_view text,
                           const boost::json::value& value,
                           base::Findings& findings);

}  // namespace berylreach::config
