// Reads call ids. Private to the package.
#pragma once

#include <string_view>

#include "berylreach/model/call_id.h"
#include "object_reader.h"

namespace berylreach::config {

/// The call id in the member `name`; adds a finding and returns the default id
/// if it is missing or wrong.
model::CallId ReadCallId(ObjectReader& reader, std::string_view name);

}  // namespace berylreach::config
