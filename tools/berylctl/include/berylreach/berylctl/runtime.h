// What a command needs from the outside.
#pragma once

#include <cstdint>
#include <functional>
#include <ostream>

#include "berylreach/base/clock.h"
#include "berylreach/berylctl/http_client.h"

namespace berylreach::berylctl {

/// Effects of a command, passed in so that tests run in virtual time. All
/// references must outlive the command.
struct Runtime {
  HttpClient& http;
  const base::Clock& clock;
  /// Returns after the given time.
  std::function<void(base::Duration)> pause;
  /// Draws a random 64-bit number.
  std::function<std::uint64_t()> random;
  /// Results.
  std::ostream& out;
  /// Failures and progress.
  std::ostream& err;
};

}  // namespace berylreach::berylctl
