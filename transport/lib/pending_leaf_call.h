// A call that was handed to the upstream client.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <utility>

#include "berylreach/base/clock.h"
#include "berylreach/model/upstream_call.h"
#include "client_connection.h"
#include "io.h"

namespace berylreach::transport {

/// Progress of one call. It is queued until `connection` is set.
struct PendingLeafCall {
  PendingLeafCall(asio::io_context& context, model::UpstreamCall upstream_call,
                  std::string request_bytes)
      : call(std::move(upstream_call)),
        request(std::move(request_bytes)),
        timer(context) {}

  model::UpstreamCall call;
  std::string request;
  asio::steady_timer timer;
  std::shared_ptr<ClientConnection> connection;
  /// The connection had carried a request before.
  bool reused = false;
  /// When the first byte was written.
  base::TimePoint written_at;
  /// Leaf incarnation known when the first byte was written; 0 if none.
  std::uint64_t incarnation = 0;
  /// The connection was found silent; it is probed at most once.
  bool was_probed = false;
  /// The probe of the silent connection will give the result.
  bool probing = false;
  /// The result was given; only the connection still waits for an answer.
  bool reported = false;
};

}  // namespace berylreach::transport
