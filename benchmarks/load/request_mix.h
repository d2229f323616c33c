// Creation of the requests that the load generator sends.
#pragma once

#include <cstdint>

#include "options.h"
#include "request.h"

namespace berylreach::load {

/// Creates the request `number` of its kind, counted from 0, with the current
/// time as its start.
Request MakeRequest(const Options& options, Kind kind, std::int64_t number);

}  // namespace berylreach::load
