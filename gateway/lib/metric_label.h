// Label values in the Prometheus text exposition format. Private to this
// package.
#pragma once

#include <string>

namespace berylreach::gateway {

/// Escapes a label value; names come from operators and may hold any character.
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
