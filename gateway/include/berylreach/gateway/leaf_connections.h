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
  /// Id of the request in `bytes`, which the peer repeats in its answer.
  std::string request_id;
  std::string bytes;
  /// The method is HEAD, whose responses have no body.
  bool head = false;
  /// The call must not be lost on a connection that the leaf is closing.
  bool needs_fresh_connection = false;
  /// The call opens a connection, so that its leaf is known to live when it is
  /// sent: a leaf that has ended may not have closed idle ones yet.
  bool needs_new_connection = false;
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

  /// Receives whether nothing listens at the leaf's address any more.
  using OnChecked = std::function<void(bool ended)>;

  /// `id_field` is the header field in which peers repeat the id of a request.
  LeafConnections(boost::asio::io_context& io, const base::Clock& clock,
                  std::string id_field, OnDone on_done,
                  OnProgress on_progress = {});
  ~LeafConnections() override;

  void Start(const forward::LeafRecord& leaf, LeafCall call);
  /// Opens a connection to a leaf that has none, for a later call.
  void Warm(const forward::LeafRecord& leaf);
  /// The same for another host. Its connections stay open while they are idle,
  /// since opening one costs a round trip, and are probed.
  void Link(const forward::LeafRecord& host);
  /// Finds out by a new connection whether the leaf has ended, which then
  /// refuses it. Checks of one leaf at the same time share a connection.
  void Check(const forward::LeafRecord& leaf, OnChecked on_checked);
  /// Whether a call can be sent without opening a connection.
  bool HasIdle(const std::string& leaf) const;
  /// Whether a connection is open and idle, or one was in use a moment ago and
  /// the peer has not been given up since.
  bool IsReachable(const std::string& leaf) const;
  /// Takes back a call that still waits for its connection; false if it may
  /// have been sent. The connection opens for later calls, and the result of
  /// the call is kWithdrawn, or kNotSent if it cannot be opened.
  bool Withdraw(forward::CallId call);
  /// Closes the connection of a running call; its result is not reported.
  void Cancel(forward::CallId call);
  /// Closes the idle connections to a leaf, which may have gone silent.
  void CloseIdleOf(const std::string& leaf);
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
    /// Id of the running call's request.
    std::string request_id;
    /// Opened by Check.
    bool checks = false;
    /// The peer has repeated an id on this connection.
    bool repeats_ids = false;
  };
  struct Pool {
    std::vector<std::shared_ptr<ClientConnection>> idle;
    std::size_t open = 0;
    /// The peer is a host to which a connection is held.
    bool linked = false;
    base::TimePoint reachable_until{};
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
  ClientConnection& Open(const forward::LeafRecord& leaf, Pool& pool,
                         LeafCall call, base::TimePoint answer_by);
  void FinishChecks(const std::string& leaf, bool ended);
  /// Whether a response belongs to the running call: a copy of an earlier
  /// answer may arrive where the next one is expected.
  bool Answers(Slot& slot, const HttpFields& fields) const;
  std::shared_ptr<ClientConnection> TakeIdle(Pool& pool, const LeafCall& call);
  void Drop(ClientConnection& connection);

  boost::asio::io_context& io_;
  const base::Clock& clock_;
  std::string id_field_;
  ReceiveQuota quota_;
  OnDone on_done_;
  OnProgress on_progress_;
  std::unordered_map<std::string, Pool> pools_;
  std::unordered_map<ClientConnection*, Slot> slots_;
  std::unordered_map<forward::CallId, ClientConnection*> by_call_;
  /// Running checks, by leaf.
  std::unordered_map<std::string, std::vector<OnChecked>> checks_;
  ConnectionCounters counters_;
};

}  // namespace berylreach::gateway
