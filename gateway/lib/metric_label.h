// Label values of metrics.
#pragma once

#include <string>

namespace berylreach::gateway {

/// Escapes a label value; names of routes and leaves come from outside and may
/// hold any character.
inline std::string EscapeLabel(const std::string& value) {
  std::string escaped;
  for (const char c : value) {
    if (c == '\\' || c == '"') escaped += '\\';
    if (c == '\n') {
      escaped += "\\n";
    } else {
      escaped += c;
    }
  }
  return escaped;
}

}  // namespace berylreach::gateway
