// Exit codes of berylctl.
#pragma once

#include <cstdint>

namespace berylreach::berylctl {

/// How a command ended. Scripts depend on the numbers.
enum class ExitCode : std::uint8_t {
  kSuccess = 0,
  kUsage = 2,     ///< Invalid command line or unreadable file.
  kFindings = 3,  ///< A document or stored record is invalid or missing.
  kConflict = 4,  ///< Another document replaced the base version.
  kHostsLag = 5,  ///< Hosts do not respond or lack the document.
  kStoreUnreachable = 6,  ///< The store does not respond or is failing.
};

}  // namespace berylreach::berylctl
