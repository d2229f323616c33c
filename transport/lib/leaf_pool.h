// Connections to one leaf and the calls that they carry.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "berylreach/base/clock.h"
#include "berylreach/model/leaf_status.h"
#include "berylreach/transport/upstream_client.h"
#include "client_connection.h"
#include "pending_leaf_call.h"

namespace berylreach::transport {

/// Sends calls to one leaf over a pool of connections and reads its status.
/// Used on the upstream thread only. After Close no callback is called.
class LeafPool : public std::enable_shared_from_this<LeafPool> {
 public:
  /// Objects and callbacks that the pools of all leaves share.
  struct Context {
    asio::io_context& io;
    base::ReceiveQuota& quota;
    const base::Clock& clock;
    const UpstreamOptions& options;
    /// Time after which an unanswered call of a service causes a probe.
    std::function<std::chrono::milliseconds(const model::ServiceName&)>
        silence_threshold;
    std::function<void(model::UpstreamResult)> on_result;
    std::function<void(model::LeafStatus)> on_status;
  };

  LeafPool(const Context& context, model::LeafName leaf);

  /// Sets the address of the leaf and the maximum number of connections. If the
  /// address changes, idle connections are closed.
  void SetAddress(const std::string& address, std::uint32_t max_connections);
  /// Queues a call and sends it as soon as a connection is available. If the
  /// queue is full, the call ends at once as not sent.
  void Submit(model::UpstreamCall call);
  /// Drops a queued call; sends a cancellation for a call in flight.
  void Cancel(const model::CallId& id);
  /// Starts periodic status reads, the first at once, unless they run already.
  void Own();
  /// Stops status reads, and closes the idle connections once no call is queued
  /// or in flight.
  void Release();
  /// Whether no call is queued or in flight.
  bool IsIdle() const { return pending_calls_.empty(); }
  void Close();

 private:
  using PendingCallPtr = std::shared_ptr<PendingLeafCall>;
  using ConnectionPtr = std::shared_ptr<ClientConnection>;

  /// Result of a control request, that is, of a probe, a status read or a
  /// cancellation.
  struct ControlResult {
    /// Whether the leaf's address refused the connection.
    bool refused = false;
    bool timed_out = false;
    /// Whether the request was sent on an idle connection of the pool.
    bool reused = false;
    Exchange exchange;
  };
  struct ControlRequest;
  using ControlCallback = std::function<void(ControlResult)>;

  // Calls, in leaf_pool.cc.
  /// Writes queued calls on idle connections and opens new connections, up to
  /// the maximum, for the calls that remain.
  void SendQueued();
  void Open();
  void OnOpened(const ConnectionPtr& connection, const ErrorCode& error);
  void Write(const PendingCallPtr& pending, const ConnectionPtr& connection,
             bool reused);
  void OnExchange(const PendingCallPtr& pending, const Exchange& exchange);
  void OnAnswer(const PendingCallPtr& pending, const Exchange& exchange);
  void OnNotWritten(const PendingCallPtr& pending);
  /// Sets the timer of a call to the next of its time limits.
  void ArmTimer(const PendingCallPtr& pending);
  void OnTimer(const PendingCallPtr& pending);
  /// Reports the timeout of a call in flight, cancels the call at the leaf, and
  /// keeps its connection open for `late_answer_wait`.
  void OnTimeOut(const PendingCallPtr& pending);
  /// Reports a result without an answer, unless the call has a result already.
  void Report(const PendingCallPtr& pending, model::LeafOutcome outcome,
              bool connect_failed = false);
  /// Stops the timer of a call and removes the call from the pool.
  void RemoveCall(const PendingCallPtr& pending);
  /// The deadline of a call, converted from wall-clock to monotonic time.
  base::TimePoint DeadlineOf(const model::UpstreamCall& call) const;

  // Connections, in leaf_connections.cc.
  /// Takes a usable idle connection and drops unusable ones that it finds
  /// first; null if none is usable.
  ConnectionPtr TakeIdle();
  /// Ends all queued calls as not sent because the leaf cannot be reached.
  void FailQueued();
  /// Puts a connection back into the pool, or drops it if it cannot be reused.
  void ReturnToPool(const ConnectionPtr& connection);
  void Drop(const ConnectionPtr& connection);
  void DropIdle();

  // Probes, status reads and cancellations, in leaf_control_requests.cc.
  /// Sends a control request on an idle connection or a new one; with
  /// `new_connection` always on a new one. If the maximum is reached, an idle
  /// connection is closed first. False if the maximum allows no new connection
  /// or the address is invalid.
  bool SendControlRequest(std::string request, bool new_connection,
                          ControlCallback done);
  void WriteControlRequest(const std::shared_ptr<ControlRequest>& control);
  void FinishControlRequest(const std::shared_ptr<ControlRequest>& control,
                            ControlResult result);
  void SendCancel(const model::CallId& id);
  /// Ends a call whose connection was lost, after probing whether the leaf has
  /// crashed. `attempts` is the number of probes already made.
  void DetermineLossCause(const PendingCallPtr& pending, int attempts);
  /// Probes the leaf on a new connection because a call is unanswered beyond
  /// the silence threshold. If the call is still unanswered when the probe
  /// ends, its connection is closed and the call ends. An order instead keeps
  /// waiting if the process that it was sent to still runs.
  void ProbeSilentConnection(const PendingCallPtr& pending);
  /// Whether a probe was answered by the process that `pending` was sent to.
  bool IsSameProcess(const PendingCallPtr& pending,
                     const ControlResult& result);
  /// Parses the status in an answer. The result is not `reachable` if the
  /// answer is invalid or names another leaf.
  model::LeafStatus ParseStatusAnswer(const Exchange& exchange) const;
  /// kLeafCrashed if a probe shows that the leaf has ended or restarted since
  /// the call was written, otherwise kLost.
  model::LeafOutcome OutcomeOfLoss(const PendingCallPtr& pending,
                                   const ControlResult& result);
  void ReadStatus(bool new_connection);
  void ReadStatusAfter(std::chrono::milliseconds delay);
  /// Reports the result of a status read. If the read failed, schedules the
  /// next one after `down_status_interval`.
  void ReportStatus(model::LeafStatus status);
  /// Checks whether the process behind the lost connections still runs, before
  /// the queued calls are sent on new connections. A restarted process is cold,
  /// and these calls were admitted under the limit of a warm process.
  void VerifyIncarnation();
  model::LeafStatus StatusOf(const ControlResult& result);
  void OnStatusRead(const ControlResult& result);
  std::string StatusRequest() const;

  const Context context_;
  const model::LeafName leaf_;
  std::string address_;
  std::size_t max_connections_ = 1;
  std::unordered_map<model::CallId, PendingCallPtr> pending_calls_;
  std::deque<PendingCallPtr> queue_;
  std::vector<ConnectionPtr> idle_;
  std::unordered_set<ConnectionPtr> open_;
  /// Number of connections that are being opened for queued calls.
  std::size_t opening_ = 0;
  std::unordered_set<std::shared_ptr<ControlRequest>> control_requests_;
  /// Last known incarnation of the leaf; 0 if none is known.
  std::uint64_t incarnation_ = 0;
  asio::steady_timer status_timer_;
  bool reads_status_ = false;
  /// Set when the leaf has closed all connections. Its process may have ended,
  /// and a new one at the same address starts cold.
  bool all_connections_lost_ = false;
  /// Set while VerifyIncarnation waits for an answer; no queued call is sent.
  bool verifying_ = false;
  /// Set when the leaf is no longer owned. Its connections are closed after the
  /// last call.
  bool released_ = false;
  bool closed_ = false;
};

}  // namespace berylreach::transport
