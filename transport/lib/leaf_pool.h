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
#include "leaf_flight.h"

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
        silent_after;
    std::function<void(model::UpstreamResult)> on_result;
    std::function<void(model::LeafStatus)> on_status;
  };

  LeafPool(const Context& context, model::LeafName leaf);

  /// Sets where the leaf is; idle connections to another address are closed.
  void SetPlace(const std::string& address, std::uint32_t connections);
  void Submit(model::UpstreamCall call);
  void Cancel(const model::CallId& id);
  /// Reads the status at once, if it was not read before, and periodically.
  void Own();
  /// Ends status reads and gives up idle connections.
  void Release();
  /// No call is queued or in flight.
  bool IsIdle() const { return flights_.empty(); }
  void Close();

 private:
  using FlightPtr = std::shared_ptr<LeafFlight>;
  using ConnectionPtr = std::shared_ptr<ClientConnection>;

  /// How a request other than a call ended.
  struct AuxResult {
    bool refused = false;
    bool timed_out = false;
    bool reused = false;
    Exchange exchange;
  };
  struct Aux;
  using AuxDone = std::function<void(AuxResult)>;

  // Calls: leaf_pool.cc.
  void Pump();
  void Open();
  void OnOpened(const ConnectionPtr& connection, const ErrorCode& error);
  void Write(const FlightPtr& flight, const ConnectionPtr& connection,
             bool reused);
  void OnExchange(const FlightPtr& flight, const Exchange& exchange);
  void OnAnswer(const FlightPtr& flight, const Exchange& exchange);
  void OnNotWritten(const FlightPtr& flight);
  void ArmTimer(const FlightPtr& flight);
  void OnTimer(const FlightPtr& flight);
  void OnTimeOut(const FlightPtr& flight);
  void Report(const FlightPtr& flight, model::LeafOutcome outcome,
              bool connect_failed = false);
  void Forget(const FlightPtr& flight);
  base::TimePoint DeadlineOf(const model::UpstreamCall& call) const;

  // Connections: leaf_connections.cc.
  ConnectionPtr TakeIdle();
  /// Ends all queued calls as not sent because the leaf cannot be reached.
  void FailQueued();
  void Return(const ConnectionPtr& connection);
  void Drop(const ConnectionPtr& connection);
  void DropIdle();

  // Probes, status reads and cancellations: leaf_aux.cc.
  /// With `fresh` an idle connection makes room for a new one. False if the
  /// connection limit leaves no room.
  bool SendAux(std::string request, bool fresh, AuxDone done);
  void WriteAux(const std::shared_ptr<Aux>& aux);
  void FinishAux(const std::shared_ptr<Aux>& aux, AuxResult result);
  void SendCancel(const model::CallId& id);
  /// Ends a call whose connection is lost, after asking whether the leaf died.
  void Investigate(const FlightPtr& flight, int attempts);
  /// Asks on a fresh connection and closes the flight's connection if it still
  /// has no answer by then.
  void ProbeSilent(const FlightPtr& flight);
  /// Whether a probe was answered by the process that `flight` was sent to.
  bool SameProcess(const FlightPtr& flight, const AuxResult& result);
  /// The status in an answer; not `reachable` if the answer is not of the known
  /// form or names another leaf.
  model::LeafStatus ReadStatusAnswer(const Exchange& exchange) const;
  model::LeafOutcome LossOutcome(const FlightPtr& flight,
                                 const AuxResult& result);
  void ReadStatus(bool fresh);
  void ReadStatusAfter(std::chrono::milliseconds delay);
  /// Passes on the result of a status read, and repeats a failed one soon.
  void ReportStatus(model::LeafStatus status);
  /// Asks whether the process behind the lost connections still runs, before
  /// the queued calls are sent on new ones: a new process is cold, and they
  /// were started under the limit of a warm one.
  void VerifyIncarnation();
  model::LeafStatus StatusOf(const AuxResult& result);
  void OnStatusRead(const AuxResult& result);
  std::string StatusRequest() const;

  const Context context_;
  const model::LeafName leaf_;
  std::string address_;
  std::size_t limit_ = 1;
  std::unordered_map<model::CallId, FlightPtr> flights_;
  std::deque<FlightPtr> queue_;
  std::vector<ConnectionPtr> idle_;
  std::unordered_set<ConnectionPtr> open_;
  std::size_t opening_ = 0;
  std::unordered_set<std::shared_ptr<Aux>> aux_;
  std::uint64_t incarnation_ = 0;
  asio::steady_timer status_timer_;
  bool reads_status_ = false;
  /// The leaf has closed all connections: its process may have ended, and a
  /// new one at the same address starts cold.
  bool lost_all_ = false;
  /// Queued calls wait until VerifyIncarnation has its answer.
  bool verifying_ = false;
  /// The leaf is no longer owned: connections are closed with the last call.
  bool released_ = false;
  bool closed_ = false;
};

}  // namespace berylreach::transport
