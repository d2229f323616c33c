// State of a call that the upstream client has accepted.
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

/// A call that is queued until `connection` is set, and in flight from then on.
struct PendingLeafCall {
  PendingLeafCall(asio::io_context& context, model::UpstreamCall upstream_call,
                  std::string request_bytes)
      : call(std::move(upstream_call)),
        request(std::move(request_bytes)),
        timer(context) {}

  model::UpstreamCall call;
  /// The HTTP request that carries the call.
  std::string request;
  /// Expires at the next time limit of the call, such as the silence threshold
  /// or the deadline.
  asio::steady_timer timer;
  std::shared_ptr<ClientConnection> connection;
  /// Whether the connection has carried an earlier request.
  bool reused = false;
  /// Time at which the first byte was written.
  base::TimePoint written_at;
  /// Incarnation of the leaf that was known when the first byte was written; 0
  /// if none was known.
  std::uint64_t incarnation = 0;
  /// Whether the silence threshold has passed without an answer, which causes
  /// at most one probe per call.
  bool was_probed = false;
  /// Whether a probe of the leaf is in flight and will determine the result.
  bool probing = false;
  /// Whether the result was reported. The connection may still wait for a late
  /// answer.
  bool reported = false;
};

}  // namespace berylreach::transport
