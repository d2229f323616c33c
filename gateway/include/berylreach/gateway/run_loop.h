// Runs an event loop that survives exceptions.
#pragma once

#include <boost/asio/io_context.hpp>
#include <exception>

#include "berylreach/host/log.h"

namespace berylreach::gateway {

/// Runs `io` until it is stopped or out of work. An exception ends only the
/// handler that threw it and is logged; the process goes on, since one
/// malformed message or failed allocation must not fail all other requests.
inline void RunLoop(boost::asio::io_context& io) {
  while (true) {
    try {
      io.run();
      return;
    } catch (const std::exception& error) {
      host::LogStateChange("unexpected_error", error.what(), "");
    }
  }
}

}  // namespace berylreach::gateway
