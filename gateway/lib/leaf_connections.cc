// Connection pools: opening, reuse, checks and timeouts of connections.
#include "berylreach/gateway/leaf_connections.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "berylreach/host/log.h"

namespace berylreach::gateway {
namespace {

using std::chrono::milliseconds;

/// Time limit for opening a connection. Allows for two round trips between
/// regions and some delay at a busy leaf.
constexpr milliseconds kConnectTimeout{300};

/// How long after its deadline a call is given up, so that a response that the
/// leaf sends at the deadline is still read.
constexpr milliseconds kResponseMargin{100};

/// Idle time after which a connection counts as stale. A stale connection does
/// not carry a call that must not be lost, since the leaf may be closing it.
constexpr milliseconds kStaleIdleTime{500};

/// Minimum time between two connections that are opened ahead of calls to one
/// leaf. Longer than a short outage, so that a leaf that is down for a moment
/// does not receive many connection attempts.
constexpr milliseconds kMinWarmInterval{2000};

/// Idle time after which a connection is closed if the leaf states no limit.
constexpr milliseconds kDefaultIdleLimit{5000};
/// Fraction of the leaf's own idle limit after which a connection is closed.
constexpr double kIdleLimitShare = 0.7;

/// Time for which a peer counts as reachable after a response or after a call
/// over an open connection, even if all connections to it are in use.
constexpr milliseconds kReachableAfterUse{1000};

/// Idle time after which a connection to another host is closed. The other host
/// keeps it open for longer (kIdleTimeout of PeerServer).
constexpr milliseconds kHostIdleLimit{45000};
/// Idle time after which keep-alive probes are sent to another host.
constexpr std::chrono::seconds kHostKeepAliveIdle{3};

/// Maximum size of the response to one call, and of all incomplete responses
/// together; the latter is a quarter of the memory of a small host.
constexpr std::size_t kMaxResponseBytes = std::size_t{2} * 1024 * 1024;
constexpr std::size_t kMaxIncompleteBytes = std::size_t{40} * 1024 * 1024;

base::Duration IdleLimit(const ClientConnection& connection,
                         bool keep_connected) {
  if (keep_connected) return kHostIdleLimit;
  if (connection.keep_alive().count() == 0) return kDefaultIdleLimit;
  return std::chrono::duration_cast<base::Duration>(connection.keep_alive() *
                                                    kIdleLimitShare);
}

forward::CallFailure ToCallFailure(ExchangeFailure failure) {
  switch (failure) {
    case ExchangeFailure::kNotSent:
    case ExchangeFailure::kRefused:
      return forward::CallFailure::kNotSent;
    case ExchangeFailure::kTimedOut:
      return forward::CallFailure::kTimedOut;
    case ExchangeFailure::kBroken:
      break;
  }
  return forward::CallFailure::kMayHaveRun;
}

}  // namespace

LeafConnections::LeafConnections(boost::asio::io_context& io,
                                 const base::Clock& clock, std::string id_field,
                                 OnDone on_done, OnProgress on_progress,
                                 OnReset on_reset)
    : io_(io),
      clock_(clock),
      id_field_(std::move(id_field)),
      quota_(kMaxIncompleteBytes),
      on_done_(std::move(on_done)),
      on_progress_(std::move(on_progress)),
      on_reset_(std::move(on_reset)) {}

LeafConnections::~LeafConnections() {
  for (auto& [key, pooled] : connections_) pooled.connection->Close();
}

void LeafConnections::Start(const forward::LeafRecord& leaf,
                            OutgoingCall call) {
  const std::string& id = leaf.entry().id;
  Pool& pool = pools_[id];
  const base::TimePoint response_deadline = call.deadline + kResponseMargin;
  if (call.needs_new_connection) CloseIdleOf(id);
  if (auto connection = TakeIdle(pool, call)) {
    PooledConnection& pooled = connections_[connection.get()];
    pooled.call = call.id;
    pooled.request_id = std::move(call.request_id);
    pool.reachable_until = clock_.Now() + kReachableAfterUse;
    connection_by_call_[call.id] = connection.get();
    connection->Send(std::move(call.bytes), call.is_head, response_deadline);
    return;
  }
  if (pool.open >= call.max_connections) {
    boost::asio::post(io_, [this, failed = call.id] {
      on_done_(failed, forward::CallFailure::kNotSent);
    });
    return;
  }
  Open(leaf, pool, std::move(call), response_deadline);
}

ClientConnection& LeafConnections::Open(const forward::LeafRecord& leaf,
                                        Pool& pool, OutgoingCall call,
                                        base::TimePoint response_deadline) {
  auto connection = std::make_shared<ClientConnection>(io_, *this, clock_);
  connections_[connection.get()] = {.connection = connection,
                                    .leaf = leaf.entry().id,
                                    .call = call.id,
                                    .request_id = std::move(call.request_id)};
  if (call.id != 0) connection_by_call_[call.id] = connection.get();
  ++pool.open;
  ++counters_.opened;
  connection->SetResponseLimits(kMaxResponseBytes, quota_);
  if (pool.keep_connected) connection->EnableTcpKeepAlive(kHostKeepAliveIdle);
  connection->Open(leaf.entry().address, std::move(call.bytes), call.is_head,
                   clock_.Now() + kConnectTimeout, response_deadline);
  return *connection;
}

void LeafConnections::TryConnect(const forward::LeafRecord& leaf,
                                 OnConnected on_connected) {
  const std::string& id = leaf.entry().id;
  std::vector<OnConnected>& waiting = pending_trials_[id];
  waiting.push_back(std::move(on_connected));
  if (waiting.size() > 1) return;
  ClientConnection& connection =
      Open(leaf, pools_[id], {}, clock_.Now() + kConnectTimeout);
  connections_.at(&connection).is_trial = true;
}

void LeafConnections::ReportConnectResult(const std::string& leaf,
                                          ConnectResult result) {
  const auto waiting = pending_trials_.extract(leaf);
  if (waiting.empty()) return;
  for (const OnConnected& on_connected : waiting.mapped()) on_connected(result);
}

void LeafConnections::Warm(const forward::LeafRecord& leaf) {
  Pool& pool = pools_[leaf.entry().id];
  const base::TimePoint now = clock_.Now();
  if (pool.open > 0 || now < pool.warm_after) return;
  pool.warm_after = now + kMinWarmInterval;
  Open(leaf, pool, {}, now + kConnectTimeout);
}

void LeafConnections::KeepConnected(const forward::LeafRecord& host) {
  pools_[host.entry().id].keep_connected = true;
  Warm(host);
}

bool LeafConnections::HasConnection(const std::string& peer) const {
  const auto found = pools_.find(peer);
  return found != pools_.end() && found->second.open > 0;
}

bool LeafConnections::HasIdle(const std::string& leaf) const {
  const auto found = pools_.find(leaf);
  return found != pools_.end() && !found->second.idle.empty();
}

bool LeafConnections::IsReachable(const std::string& leaf) const {
  const auto found = pools_.find(leaf);
  if (found == pools_.end()) return false;
  const Pool& pool = found->second;
  return !pool.idle.empty() || clock_.Now() < pool.reachable_until;
}

void LeafConnections::OnOpened(ClientConnection& connection) {
  const auto found = connections_.find(&connection);
  if (found == connections_.end()) return;
  PooledConnection& pooled = found->second;
  pools_[pooled.leaf].idle.push_back(pooled.connection);
  if (std::exchange(pooled.is_trial, false)) {
    ReportConnectResult(std::string(pooled.leaf), ConnectResult::kOpened);
    return;
  }
  const forward::CallId withdrawn = std::exchange(pooled.call, 0);
  if (withdrawn == 0) return;
  connection_by_call_.erase(withdrawn);
  on_done_(withdrawn, forward::CallFailure::kWithdrawn);
}

bool LeafConnections::Withdraw(forward::CallId call) {
  const auto found = connection_by_call_.find(call);
  return found != connection_by_call_.end() && found->second->Withdraw();
}

std::shared_ptr<ClientConnection> LeafConnections::TakeIdle(
    Pool& pool, const OutgoingCall& call) {
  const base::TimePoint now = clock_.Now();
  while (!pool.idle.empty()) {
    auto connection = std::move(pool.idle.back());
    pool.idle.pop_back();
    const base::Duration age = now - connection->idle_since();
    base::Duration limit = IdleLimit(*connection, pool.keep_connected);
    if (call.avoid_stale_connection)
      limit = std::min<base::Duration>(kStaleIdleTime, limit);
    if (!connection->closed() && age < limit) return connection;
    connection->Close();
    Remove(*connection);
  }
  return nullptr;
}

void LeafConnections::Cancel(forward::CallId call) {
  const auto found = connection_by_call_.find(call);
  if (found == connection_by_call_.end()) return;
  const auto connection = found->second->shared_from_this();
  connection->Close();
  Remove(*connection);
}

void LeafConnections::CheckTimeouts() {
  const base::TimePoint now = clock_.Now();
  // Collected first, since the calls below remove connections from
  // connections_.
  std::vector<std::shared_ptr<ClientConnection>> busy;
  std::vector<std::shared_ptr<ClientConnection>> expired;
  for (const auto& [key, pooled] : connections_) {
    if (pooled.connection->busy()) {
      busy.push_back(pooled.connection);
    } else if (now - pooled.connection->idle_since() >=
               IdleLimit(*pooled.connection,
                         pools_[pooled.leaf].keep_connected)) {
      expired.push_back(pooled.connection);
    }
  }
  for (const auto& connection : busy) connection->CheckTimeouts(now);
  for (const auto& connection : expired) {
    connection->Close();
    Remove(*connection);
  }
}

void LeafConnections::CloseIdle(
    const std::function<bool(const std::string&)>& keep) {
  std::vector<std::string> gone;
  for (const auto& [leaf, pool] : pools_)
    if (!keep(leaf)) gone.push_back(leaf);
  for (const std::string& leaf : gone) {
    CloseIdleOf(leaf);
    if (pools_[leaf].open == 0) pools_.erase(leaf);
  }
}

void LeafConnections::CloseIdleOf(const std::string& leaf) {
  pools_[leaf].reachable_until = {};
  for (const auto& connection : std::exchange(pools_[leaf].idle, {})) {
    connection->Close();
    Remove(*connection);
  }
}

void LeafConnections::Remove(ClientConnection& connection) {
  const auto found = connections_.find(&connection);
  if (found == connections_.end()) return;
  Pool& pool = pools_[found->second.leaf];
  std::erase_if(pool.idle, [&connection](const auto& idle) {
    return idle.get() == &connection;
  });
  --pool.open;
  connection_by_call_.erase(found->second.call);
  connections_.erase(found);
}

void LeafConnections::OnResponse(ClientConnection& connection,
                                 HttpResponse response, bool reusable) {
  const auto shared = connection.shared_from_this();
  PooledConnection& pooled = connections_.at(&connection);
  if (!MatchesRequest(pooled, response.fields)) {
    host::LogStateChange("answer_of_other_request", pooled.leaf,
                         pooled.request_id);
    connection.Close();
    OnExchangeFailed(connection, ExchangeFailure::kBroken);
    return;
  }
  const forward::CallId call = std::exchange(pooled.call, 0);
  connection_by_call_.erase(call);
  pools_[pooled.leaf].reachable_until = clock_.Now() + kReachableAfterUse;
  if (reusable) {
    pools_[pooled.leaf].idle.push_back(shared);
  } else {
    Remove(connection);
  }
  on_done_(call, std::move(response));
}

bool LeafConnections::MatchesRequest(PooledConnection& pooled,
                                     const HttpFields& fields) const {
  const std::string_view echoed_id = fields.Find(id_field_);
  if (echoed_id.empty()) return !pooled.echoes_ids;
  pooled.echoes_ids = true;
  return echoed_id == pooled.request_id;
}

void LeafConnections::OnInterim(ClientConnection& connection,
                                const HttpResponse& response) {
  const auto found = connections_.find(&connection);
  if (found == connections_.end() || found->second.call == 0 || !on_progress_)
    return;
  if (response.fields.Find(id_field_) != found->second.request_id) return;
  on_progress_(found->second.call, response);
}

void LeafConnections::OnExchangeFailed(ClientConnection& connection,
                                       ExchangeFailure failure) {
  const auto shared = connection.shared_from_this();
  const auto found = connections_.find(&connection);
  if (found == connections_.end()) return;
  const forward::CallId call = found->second.call;
  const std::string leaf = found->second.leaf;
  const bool is_trial = found->second.is_trial;
  ++counters_.broken;
  Remove(connection);
  // Other connections to an unresponsive leaf may be dead too.
  if (failure == ExchangeFailure::kTimedOut) CloseIdleOf(leaf);
  if (is_trial)
    ReportConnectResult(leaf, failure == ExchangeFailure::kRefused
                                  ? ConnectResult::kRefused
                                  : ConnectResult::kFailed);
  if (call == 0) return;
  on_done_(call, ToCallFailure(failure));
}

void LeafConnections::OnIdleClosed(ClientConnection& connection, bool reset) {
  const auto shared = connection.shared_from_this();
  const auto found = connections_.find(&connection);
  if (found == connections_.end()) return;
  const std::string peer = found->second.leaf;
  Remove(connection);
  if (reset && on_reset_) on_reset_(peer);
}

}  // namespace berylreach::gateway
