// Connection pools for leaves and other hosts.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "berylreach/forward/leaf_record.h"
#include "berylreach/forward/message.h"
#include "berylreach/gateway/client_connection.h"

namespace berylreach::gateway {

/// A call to a leaf or a message to another host: its bytes and its
/// requirements on the connection.
struct OutgoingCall {
  forward::CallId id = 0;
  /// Id of the request in `bytes`, which the peer echoes in its response.
  std::string request_id;
  std::string bytes;
  /// The method is HEAD, whose responses have no body.
  bool is_head = false;
  /// The call must not be lost on an idle connection that the leaf is just
  /// closing, so an idle connection may carry it only if it was used recently.
  bool avoid_stale_connection = false;
  /// The call must open a connection, which shows that its leaf is alive when
  /// the call is sent. A leaf that has crashed may not have closed its idle
  /// connections yet.
  bool needs_new_connection = false;
  /// Maximum number of connections that this host may hold to the leaf.
  std::size_t max_connections = 1;
  base::TimePoint deadline{};
};

/// Connections opened, and connections that failed to open or failed during an
/// exchange, since the start of the process.
struct ConnectionCounters {
  std::uint64_t opened = 0;
  std::uint64_t broken = 0;
};

/// Sends calls over a bounded pool of connections per leaf or host. All calls
/// must come from the event loop's thread.
class LeafConnections : public ClientConnectionHandler {
 public:
  using Result = std::variant<HttpResponse, forward::CallFailure>;
  /// Receives the result of each call once.
  using OnDone = std::function<void(forward::CallId, Result)>;
  /// Receives the interim responses of running calls.
  using OnProgress = std::function<void(forward::CallId, const HttpResponse&)>;

  /// Result of opening a connection to a leaf.
  enum class ConnectResult {
    kOpened,
    /// Nothing listens at the leaf's address.
    kRefused,
    /// Neither: the connection was reset, or there was no response in time.
    kFailed,
  };
  using OnConnected = std::function<void(ConnectResult)>;

  /// Receives the id of a leaf or host that has reset an idle connection.
  using OnReset = std::function<void(const std::string& peer)>;

  /// `id_field` is the name of the header field in which peers echo the request
  /// id.
  LeafConnections(boost::asio::io_context& io, const base::Clock& clock,
                  std::string id_field, OnDone on_done,
                  OnProgress on_progress = {}, OnReset on_reset = {});
  ~LeafConnections() override;

  /// Sends a call over an idle connection or a new one. The call fails with
  /// kNotSent if the host may not open another connection to the leaf.
  void Start(const forward::LeafRecord& leaf, OutgoingCall call);
  /// Opens a connection for later calls to a leaf that has none.
  void Warm(const forward::LeafRecord& leaf);
  /// Keeps a connection to another host open. Unlike a connection to a leaf, it
  /// stays open while idle, because opening one costs a round trip, and sends
  /// TCP keep-alive probes.
  void KeepConnected(const forward::LeafRecord& host);
  /// Opens a connection to the leaf to see whether anything listens at its
  /// address. Concurrent trials of one leaf share a connection, which then
  /// serves calls.
  void TryConnect(const forward::LeafRecord& leaf, OnConnected on_connected);
  /// Whether a connection to the peer is open or being opened.
  bool HasConnection(const std::string& peer) const;
  /// Whether a call could be sent over an idle connection.
  bool HasIdle(const std::string& leaf) const;
  /// Whether a connection to the peer is idle, or was in use a moment ago and
  /// the peer has not been found unresponsive since.
  bool IsReachable(const std::string& leaf) const;
  /// Withdraws a call that still waits for its connection; false if it may have
  /// been sent. The connection opens for later calls. The result of the call is
  /// kWithdrawn, or kNotSent if the connection cannot be opened.
  bool Withdraw(forward::CallId call);
  /// Closes the connection of a running call, whose result is not reported.
  void Cancel(forward::CallId call);
  /// Closes the idle connections to a leaf that may be unresponsive.
  void CloseIdleOf(const std::string& leaf);
  /// Fails calls whose deadline has passed and closes connections that have
  /// been idle for too long.
  void CheckTimeouts();
  /// Closes the idle connections to leaves for which `keep` returns false.
  void CloseIdle(const std::function<bool(const std::string&)>& keep);

  const ConnectionCounters& counters() const { return counters_; }

 private:
  /// A connection and the call that it carries, if any.
  struct PooledConnection {
    std::shared_ptr<ClientConnection> connection;
    std::string leaf;
    forward::CallId call = 0;
    /// Id of the running call's request.
    std::string request_id;
    /// Opened by TryConnect.
    bool is_trial = false;
    /// The peer has echoed a request id on this connection.
    bool echoes_ids = false;
  };
  /// The connections to one leaf or host.
  struct Pool {
    std::vector<std::shared_ptr<ClientConnection>> idle;
    std::size_t open = 0;
    /// The peer is a host to which a connection is kept open.
    bool keep_connected = false;
    base::TimePoint reachable_until{};
    /// Warm opens no connection before this time.
    base::TimePoint warm_after{};
  };

  void OnResponse(ClientConnection& connection, HttpResponse response,
                  bool reusable) override;
  void OnInterim(ClientConnection& connection,
                 const HttpResponse& response) override;
  void OnExchangeFailed(ClientConnection& connection,
                        ExchangeFailure failure) override;
  void OnOpened(ClientConnection& connection) override;
  void OnIdleClosed(ClientConnection& connection, bool reset) override;
  /// Opens a connection for `call`, or without a call if its id is 0.
  ClientConnection& Open(const forward::LeafRecord& leaf, Pool& pool,
                         OutgoingCall call, base::TimePoint response_deadline);
  /// Reports the result of a trial to all its callbacks.
  void ReportConnectResult(const std::string& leaf, ConnectResult result);
  /// Whether a response belongs to the running call. A duplicate of an earlier
  /// response may arrive where the next one is expected.
  bool MatchesRequest(PooledConnection& pooled, const HttpFields& fields) const;
  /// Takes an idle connection that may carry `call` out of the pool, and closes
  /// those that are too old; null if there is none.
  std::shared_ptr<ClientConnection> TakeIdle(Pool& pool,
                                             const OutgoingCall& call);
  /// Removes a closed connection from its pool.
  void Remove(ClientConnection& connection);

  boost::asio::io_context& io_;
  const base::Clock& clock_;
  std::string id_field_;
  base::ReceiveQuota quota_;
  OnDone on_done_;
  OnProgress on_progress_;
  OnReset on_reset_;
  std::unordered_map<std::string, Pool> pools_;
  std::unordered_map<ClientConnection*, PooledConnection> connections_;
  std::unordered_map<forward::CallId, ClientConnection*> connection_by_call_;
  /// Callbacks of running trials, by leaf id.
  std::unordered_map<std::string, std::vector<OnConnected>> pending_trials_;
  ConnectionCounters counters_;
};

}  // namespace berylreach::gateway
