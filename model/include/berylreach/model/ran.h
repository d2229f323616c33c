// Whether a refused request ran.
#pragma once

#include <cstdint>

namespace berylreach::model {

/// What is known about the execution of a request that was refused.
enum class Ran : std::uint8_t {
  kNotRun,  ///< Proven: no byte left for an upstream, or the upstream proved
            ///< that it did not run.
  kMayHaveRun,  ///< Unknown.
  kRan,         ///< Proven: it ran, but its result cannot be returned.
};

}  // namespace berylreach::model
