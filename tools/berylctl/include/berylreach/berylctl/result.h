// Results of the steps of a command.
#pragma once

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>

#include "berylreach/berylctl/failure.h"

namespace berylreach::berylctl {

/// A value, or the failure that ends the command. Callers check before access.
template <typename T>
using Result = boost::outcome_v2::unchecked<T, Failure>;

/// The value of a step that has nothing to return.
inline auto Success() { return boost::outcome_v2::success(); }

}  // namespace berylreach::berylctl
