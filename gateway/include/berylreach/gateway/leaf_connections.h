// Connections to leaves, kept for further calls.
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

/// The bytes of one call and what it asks of its connection.
struct LeafCall {
  forward::CallId id = 0;
  std::string bytes;
  /// The method is HEAD, whose responses have no body.
  bool head = false;
  /// The call must not be lost on a connection that the leaf is closing.
  bool needs_fresh_connection = false;
  /// Connections that may be open to the leaf.
  std::size_t connections = 1;
  base::TimePoint deadline{};
};

/// Counters of connections.
struct ConnectionCounters {
  std::uint64_t opened = 0;
  std::uint64_t broken = 0;
};

/// Sends calls over few connections a leaf. All calls come from the event
/// loop's thread.
class LeafConnections : public ClientConnectionHandler {
 public:
  using Result = std::variant<HttpResponse, forward::CallFailure>;
  /// Receives the end of each call once.
  using OnDone = std::function<void(forward::CallId, Result)>;
  /// Receives interim responses of running calls.
  using OnProgress = std::function<void(forward::CallId, const HttpResponse&)>;

  LeafConnections(boost::asio::io_context& io, const base::Clock& clock,
                  OnDone on_done, OnProgress on_progress = {});
  ~LeafConnections() override;

  void Start(const forward::LeafRecord& leaf, LeafCall call);
  /// Opens a connection to a leaf that has none, for a later call.
  void Warm(const forward::LeafRecord& leaf);
  /// Closes the connection of a running call; its result is not reported.
  void Cancel(forward::CallId call);
  /// Ends calls whose time is over and closes old idle connections.
  void CheckTimeouts();
  /// Closes idle connections to leaves for which `keep` is false.
  void CloseIdle(const std::function<bool(const std::string&)>& keep);

  const ConnectionCounters& counters() const { return counters_; }

 private:
  struct Slot {
    std::shared_ptr<ClientConnection> connection;
    std::string leaf;
    forward::CallId call = 0;
  };
  struct Pool {
    std::vector<std::shared_ptr<ClientConnection>> idle;
    std::size_t open = 0;
    /// No connection is opened ahead of a call before.
    base::TimePoint warm_after{};
  };

  void OnResponse(ClientConnection& connection, HttpResponse response,
                  bool reusable) override;
  void OnInterim(ClientConnection& connection,
                 const HttpResponse& response) override;
  void OnExchangeFailed(ClientConnection& connection,
                        ExchangeFailure failure) override;
  void OnOpened(ClientConnection& connection) override;
  void OnIdleClosed(ClientConnection& connection) override;
  void Open(const forward::LeafRecord& leaf, Pool& pool, forward::CallId call,
            std::string bytes, bool head, base::TimePoint answer_by);
  std::shared_ptr<ClientConnection> TakeIdle(Pool& pool, const LeafCall& call);
  void Drop(ClientConnection& connection);
  void CloseIdleOf(const std::string& leaf);

  boost::asio::io_context& io_;
  const base::Clock& clock_;
  OnDone on_done_;
  OnProgress on_progress_;
  std::unordered_map<std::string, Pool> pools_;
  std::unordered_map<ClientConnection*, Slot> slots_;
  std::unordered_map<forward::CallId, ClientConnection*> by_call_;
  ConnectionCounters counters_;
};

}  // namespace berylreach::gateway
