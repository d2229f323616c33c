// Label values of metrics. Private to the package.
#pragma once

#include <string>

namespace berylreach::gateway {

/// Escapes a label value; names of routes and tenants come from operators and
/// may hold any character.
std::string EscapeLabel(const std::string& value);

}  // namespace berylreach::gateway
