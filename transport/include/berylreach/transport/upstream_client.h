// HTTP client pool for leaves.
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

/// Time limits and bounds of an UpstreamClient.
struct UpstreamOptions {
  std::chrono::milliseconds connect_timeout{300};
  /// A call unanswered for this time makes its connection suspect, unless
  /// SetSilenceThreshold states another time for its service.
  std::chrono::milliseconds silent_after{500};
  /// Longest wait for the answer to a probe or a status read.
  std::chrono::milliseconds probe_timeout{500};
  std::chrono::milliseconds status_interval{1000};
  /// The same for a leaf whose last read failed. A restarted leaf gets no calls
  /// before a read succeeds; at 1 s that was most of its absence.
  std::chrono::milliseconds down_status_interval{100};
  /// How long a connection is kept for the late answer of a call that was
  /// cancelled or timed out.
  std::chrono::milliseconds late_answer_wait{1000};
  /// Calls handed over and not yet taken by the upstream thread.
  std::size_t channel_capacity = 8192;
  /// Calls of one leaf that wait for a connection.
  std::size_t leaf_queue = 64;
};

/// Sends calls to leaves over pooled keep-alive connections. A call is written
/// at most once. All methods may be called from any thread.
class UpstreamClient {
 public:
  struct Impl;

  /// `clock`, `handler` and `thread` must outlive the client.
  UpstreamClient(IoThread& thread, const base::Clock& clock,
                 UpstreamOptions options, UpstreamHandler& handler);
  /// Closes all connections; afterwards the handler is not called again.
  ~UpstreamClient();
  UpstreamClient(const UpstreamClient&) = delete;
  UpstreamClient& operator=(const UpstreamClient&) = delete;

  /// Hands over one call; false if the channel is full, in which case nothing
  /// is sent and no result follows. With Wakeup::kAtFlush the upstream thread
  /// takes the call after the next Flush.
  bool Send(model::UpstreamCall call, base::Wakeup wakeup = base::Wakeup::kNow);
  void Flush();

  /// Withdraws a call. A queued call ends at once as kNotSent. For a call in
  /// flight the leaf is told, and the result follows when the leaf answers or
  /// the call is lost.
  void Cancel(model::CallId id);

  /// Replaces the set of leaves whose status is read: at once for new leaves,
  /// then every `status_interval`, or `down_status_interval` after a read that
  /// failed. Pools of other leaves are closed once idle.
  void SetOwnedLeaves(std::vector<OwnedLeaf> leaves);

  /// Sets the time after which an unanswered call of `service` makes its
  /// connection suspect.
  void SetSilenceThreshold(model::ServiceName service,
                           std::chrono::milliseconds time);

 private:
  std::shared_ptr<Impl> impl_;
};

}  // namespace berylreach::transport
