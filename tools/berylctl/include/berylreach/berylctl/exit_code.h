// Exit codes of the command line.
#pragma once

#include <cstdint>

namespace berylreach::berylctl {

/// How a command ended. Scripts rely on the numbers.
enum class ExitCode : std::uint8_t {
  kSuccess = 0,
  kUsage = 2,     ///< Wrong command line or unreadable file.
  kFindings = 3,  ///< A document or stored record has findings.
  kConflict = 4,  ///< Another operator's document came first.
  kHostsLag = 5,  ///< Hosts do not answer, or not with the wanted document.
  kStoreUnreachable = 6,  ///< The platform store does not answer.
};

}  // namespace berylreach::berylctl
