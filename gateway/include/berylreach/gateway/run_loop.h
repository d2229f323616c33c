// Runs an event loop for the life of the process.
#pragma once

#include <boost/asio/io_context.hpp>
#include <exception>

#include "berylreach/host/log.h"

namespace berylreach::gateway {

/// Runs `io` until it is stopped or has no work. An exception ends the event
/// that threw it, with a line in the log, and not the process: one message or
/// one lack of memory must not cost all other requests.
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
