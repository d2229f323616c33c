// Result type of commands and their steps.
#pragma once

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>

#include "berylreach/berylctl/failure.h"

namespace berylreach::berylctl {

/// A value, or the failure that ends the command. Access is unchecked: test for
/// a value first.
template <typename T>
using Result = boost::outcome_v2::unchecked<T, Failure>;

/// The result of a step that succeeded and returns no value.
inline auto Success() { return boost::outcome_v2::success(); }

}  // namespace berylreach::berylctl
