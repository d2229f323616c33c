// Escapes label values for the Prometheus text exposition format.
#include "label.h"

namespace berylreach::gateway {

std::string EscapeLabel(const std::string& value) {
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
