// Finds members that occur twice in one JSON object.
#pragma once

#include <boost/json/value.hpp>
#include <string_view>

#include "berylreach/base/finding.h"

namespace berylreach::config {

/// Adds a finding for each repeated member of `text`, which is valid JSON and
/// was parsed as `value`; false if there is any. Boost.JSON keeps the last one
/// silently, which would hide one of two statements of an operator.
bool RejectRepeatedMembers(std::string_view text,
                           const boost::json::value& value,
                           base::Findings& findings);

}  // namespace berylreach::config
