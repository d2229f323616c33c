// External dependencies of a command.
#pragma once

#include <cstdint>
#include <functional>
#include <ostream>

#include "berylreach/base/clock.h"
#include "berylreach/berylctl/http_client.h"

namespace berylreach::berylctl {

/// Network, clock, randomness and output of a command, injected so that tests
/// run in virtual time. All references must outlive the command.
struct Runtime {
  HttpClient& http;
  const base::Clock& clock;
  /// Blocks for the given time.
  std::function<void(base::Duration)> sleep;
  /// Returns a random 64-bit number.
  std::function<std::uint64_t()> random;
  /// Receives results.
  std::ostream& out;
  /// Receives failures and progress messages.
  std::ostream& err;
};

}  // namespace berylreach::berylctl
