// HTTP client that sends calls to leaves and reads their status.
#pragma once

#include <chrono>
#include <cstddef>
#include <memory>
#include <vector>

#include "berylreach/base/channel.h"
#include "berylreach/base/clock.h"
#include "berylreach/model/call_id.h"
#include "berylreach/model/names.h"
#include "berylreach/model/upstream_call.h"
#include "berylreach/transport/io_thread.h"
#include "berylreach/transport/owned_leaf.h"
#include "berylreach/transport/upstream_handler.h"

namespace berylreach::transport {

/// Timeouts and limits of an UpstreamClient.
struct UpstreamOptions {
  std::chrono::milliseconds connect_timeout{300};
  /// Time after which an unanswered call causes a probe of its leaf, unless
  /// SetSilenceThreshold sets another time for its service.
  std::chrono::milliseconds silence_threshold{500};
  /// Timeout of a probe, a status read or a cancellation.
  std::chrono::milliseconds probe_timeout{500};
  /// Interval between status reads of a leaf.
  std::chrono::milliseconds status_interval{1000};
  /// Interval between status reads of a leaf whose last read failed. A
  /// restarted leaf gets no calls before a read succeeds; an interval of 1 s
  /// would make up most of its downtime.
  std::chrono::milliseconds down_status_interval{100};
  /// How long the connection of a call that timed out is kept open for a late
  /// answer.
  std::chrono::milliseconds late_answer_wait{1000};
  /// Maximum number of calls and cancellations that are queued for the upstream
  /// thread.
  std::size_t channel_capacity = 8192;
  /// Maximum number of calls to one leaf that wait for a connection.
  std::size_t max_queued_calls = 64;
};

/// Sends calls to leaves over pooled keep-alive connections. A call is written
/// at most once. All methods may be called from any thread.
class UpstreamClient {
 public:
  struct Impl;

  /// `thread` becomes the upstream thread, on which the connections are used
  /// and `handler` is called. `clock`, `handler` and `thread` must outlive the
  /// client.
  UpstreamClient(IoThread& thread, const base::Clock& clock,
                 UpstreamOptions options, UpstreamHandler& handler);
  /// Closes all connections; afterwards the handler is not called again.
  ~UpstreamClient();
  UpstreamClient(const UpstreamClient&) = delete;
  UpstreamClient& operator=(const UpstreamClient&) = delete;

  /// Queues one call; false if the channel is full, in which case nothing
  /// is sent and no result follows. With Wakeup::kAtFlush the upstream thread
  /// takes the call after the next Flush.
  bool Send(model::UpstreamCall call, base::Wakeup wakeup = base::Wakeup::kNow);
  /// Wakes the upstream thread to take the calls that were queued with
  /// Wakeup::kAtFlush.
  void Flush();

  /// Cancels a call. A queued call ends at once as kNotSent. For a call in
  /// flight a cancellation is sent to the leaf; the result follows when the
  /// leaf answers or the call is lost. If the channel is full, the cancellation
  /// is dropped.
  void Cancel(model::CallId id);

  /// Replaces the set of leaves whose status is read. The status of a new leaf
  /// is read at once, then every `status_interval`, or `down_status_interval`
  /// after a read that failed. Connections to other leaves are closed once no
  /// call uses them.
  void SetOwnedLeaves(std::vector<OwnedLeaf> leaves);

  /// Sets the time after which an unanswered call of `service` causes a probe
  /// of its leaf.
  void SetSilenceThreshold(model::ServiceName service,
                           std::chrono::milliseconds threshold);

 private:
  std::shared_ptr<Impl> impl_;
};

}  // namespace berylreach::transport
