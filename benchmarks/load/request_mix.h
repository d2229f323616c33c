// The requests that the load consists of.
#pragma once

#include <cstdint>

#include "options.h"
#include "request.h"

namespace berylreach::load {

/// The request with this number, counted from 0 for each kind, started now.
Request MakeRequest(const Options& options, Kind kind, std::int64_t number);

}  // namespace berylreach::load
