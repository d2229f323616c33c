// Whether a refused request ran.
#pragma once

#include <cstdint>

namespace berylreach::model {

/// What is known about the execution of a request that was refused.
enum class ExecutionStatus : std::uint8_t {
  kNotRun,  ///< Proven not to have run: no byte was sent to an upstream, or the
            ///< upstream proved that it did not run the request.
  kMayHaveRun,  ///< Unknown.
  kRan,         ///< Proven to have run, but its result cannot be returned.
};

}  // namespace berylreach::model
