// Connections and calls of one leaf.
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

/// Sends the calls of one leaf. Belongs to the upstream thread. After Close
/// nothing is called back.
class LeafPool : public std::enable_shared_from_this<LeafPool> {
 public:
  struct Context {
    asio::io_context& io;
    const base::Clock& clock;
    const UpstreamOptions& options;
    std::function<std::chrono::milliseconds(const model::ServiceName&)>
        silence_threshold;
    std::function<void(model::UpstreamResult)> on_result;
    std::function<void(model::LeafStatus)> on_status;
  };

  LeafPool(const Context& context, model::LeafName leaf);

  /// Sets where the leaf is; idle connections to another address are closed.
  void SetAddress(const std::string& address, std::uint32_t connections);
  void Submit(model::UpstreamCall call);
  void Cancel(const model::CallId& id);
  /// Reads the status at once, if it was not read before, and periodically.
  void Own();
  /// Ends status reads and gives up idle connections.
  void Release();
  /// No call is queued or in flight.
  bool IsIdle() const { return pending_calls_.empty(); }
  void Close();

 private:
  using PendingCallPtr = std::shared_ptr<PendingLeafCall>;
  using ConnectionPtr = std::shared_ptr<ClientConnection>;

  /// How a request other than a call ended.
  struct ControlResult {
    bool refused = false;
    bool timed_out = false;
    bool reused = false;
    Exchange exchange;
  };
  struct ControlRequest;
  using ControlDone = std::function<void(ControlResult)>;

  // Calls: leaf_pool.cc.
  void SendQueued();
  void Open();
  void OnOpened(const ConnectionPtr& connection, const ErrorCode& error);
  void Write(const PendingCallPtr& pending, const ConnectionPtr& connection,
             bool reused);
  void OnExchange(const PendingCallPtr& pending, const Exchange& exchange);
  void OnAnswer(const PendingCallPtr& pending, const Exchange& exchange);
  void OnNotWritten(const PendingCallPtr& pending);
  void ArmTimer(const PendingCallPtr& pending);
  void OnTimer(const PendingCallPtr& pending);
  void OnTimeOut(const PendingCallPtr& pending);
  void Report(const PendingCallPtr& pending, model::LeafOutcome outcome,
              bool connect_failed = false);
  void RemoveCall(const PendingCallPtr& pending);
  base::TimePoint DeadlineOf(const model::UpstreamCall& call) const;

  // Connections: leaf_connections.cc.
  ConnectionPtr TakeIdle();
  /// Ends all queued calls as not sent because the leaf cannot be reached.
  void FailQueued();
  void Return(const ConnectionPtr& connection);
  void Drop(const ConnectionPtr& connection);
  void DropIdle();

  // Probes, status reads and cancellations: leaf_control_requests.cc.
  /// With `fresh` an idle connection makes room for a new one. False if the
  /// connection limit leaves no room.
  bool SendControlRequest(std::string request, bool fresh, ControlDone done);
  void WriteControlRequest(const std::shared_ptr<ControlRequest>& control);
  void FinishControlRequest(const std::shared_ptr<ControlRequest>& control,
                            ControlResult result);
  void SendCancel(const model::CallId& id);
  /// Ends a call whose connection is lost, after asking whether the leaf died.
  void DetermineLossCause(const PendingCallPtr& pending, int attempts);
  /// Asks on a fresh connection and closes the flight's connection if it still
  /// has no answer by then.
  void ProbeSilentConnection(const PendingCallPtr& pending);
  /// Whether a probe was answered by the process that `flight` was sent to.
  bool IsSameProcess(const PendingCallPtr& pending,
                     const ControlResult& result);
  /// The status in an answer; not `reachable` if the answer is not of the known
  /// form or names another leaf.
  model::LeafStatus ReadStatusAnswer(const Exchange& exchange) const;
  model::LeafOutcome OutcomeOfLoss(const PendingCallPtr& pending,
                                   const ControlResult& result);
  void ReadStatus(bool fresh);
  void ReadStatusAfter(std::chrono::milliseconds delay);
  /// Passes on the result of a status read, and repeats a failed one soon.
  void ReportStatus(model::LeafStatus status);
  /// Asks whether the process behind the lost connections still runs, before
  /// the queued calls are sent on new ones: a new process is cold, and they
  /// were started under the limit of a warm one.
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
  std::size_t opening_ = 0;
  std::unordered_set<std::shared_ptr<ControlRequest>> control_requests_;
  std::uint64_t incarnation_ = 0;
  asio::steady_timer status_timer_;
  bool reads_status_ = false;
  /// The leaf has closed all connections: its process may have ended, and a
  /// new one at the same address starts cold.
  bool all_connections_lost_ = false;
  /// Queued calls wait until VerifyIncarnation has its answer.
  bool verifying_ = false;
  /// The leaf is no longer owned: connections are closed with the last call.
  bool released_ = false;
  bool closed_ = false;
};

}  // namespace berylreach::transport
