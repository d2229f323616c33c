// Reads call ids from JSON objects. Private to the package.
#pragma once

#include <string_view>

#include "berylreach/model/call_id.h"
#include "object_reader.h"

namespace berylreach::config {

/// Reads the call id in the member `name`. Adds a finding and returns the
/// default id if the member is missing or invalid.
model::CallId ReadCallId(ObjectReader& reader, std::string_view name);

}  // namespace berylreach::config
