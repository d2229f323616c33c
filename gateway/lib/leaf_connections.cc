// Pools of leaf connections.
#include "berylreach/gateway/leaf_connections.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "berylreach/host/log.h"

namespace berylreach::gateway {
namespace {

using std::chrono::milliseconds;

/// Time to open a connection. Twice the round trip between regions and some
/// slots of a busy leaf fit in.
constexpr milliseconds kConnectTimeout{300};

/// Added to a call's time before it is given up, so that the leaf's own answer
/// at the deadline is still read.
constexpr milliseconds kAnswerMargin{100};

/// Age up to which an idle connection may carry a call that must not be lost.
constexpr milliseconds kFreshAge{500};

/// Least time between two connections that are opened ahead of a call. Longer
/// than a short outage of a leaf, so that it is not met with connections.
constexpr milliseconds kWarmPause{2000};

/// Idle connections without a word from the leaf are closed after this time.
constexpr milliseconds kDefaultIdle{5000};
/// Part of the leaf's own limit for idle connections that is used.
constexpr double kIdleShare = 0.7;

/// A peer is reachable for this time after an answer or a call on an open
/// connection, though all connections to it may be in use.
constexpr milliseconds kReachableAfterUse{1000};

/// Time after which an idle connection to another host is closed. Hosts keep
/// connections of other hosts for longer (PeerServer).
constexpr milliseconds kLinkIdle{45000};
/// Quiet time after which such a connection is probed.
constexpr std::chrono::seconds kLinkProbe{3};

/// Largest answer to one call, and the most that all unfinished answers may
/// hold; a quarter of the memory of a small host.
constexpr std::size_t kMaxAnswerBytes = std::size_t{2} * 1024 * 1024;
constexpr std::size_t kMaxUnfinishedBytes = std::size_t{40} * 1024 * 1024;

base::Duration IdleLimit(const ClientConnection& connection, bool linked) {
  if (linked) return kLinkIdle;
  if (connection.keep_alive().count() == 0) return kDefaultIdle;
  return std::chrono::duration_cast<base::Duration>(connection.keep_alive() *
                                                    kIdleShare);
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
                                 OnDone on_done, OnProgress on_progress)
    : io_(io),
      clock_(clock),
      id_field_(std::move(id_field)),
      quota_(kMaxUnfinishedBytes),
      on_done_(std::move(on_done)),
      on_progress_(std::move(on_progress)) {}

LeafConnections::~LeafConnections() {
  for (auto& [key, slot] : slots_) slot.connection->Close();
}

void LeafConnections::Start(const forward::LeafRecord& leaf, LeafCall call) {
  const std::string& id = leaf.entry().id;
  Pool& pool = pools_[id];
  const base::TimePoint answer_by = call.deadline + kAnswerMargin;
  if (call.needs_new_connection) CloseIdleOf(id);
  if (auto connection = TakeIdle(pool, call)) {
    Slot& slot = slots_[connection.get()];
    slot.call = call.id;
    slot.request_id = std::move(call.request_id);
    pool.reachable_until = clock_.Now() + kReachableAfterUse;
    by_call_[call.id] = connection.get();
    connection->Send(std::move(call.bytes), call.head, answer_by);
    return;
  }
  if (pool.open >= call.connections) {
    boost::asio::post(io_, [this, failed = call.id] {
      on_done_(failed, forward::CallFailure::kNotSent);
    });
    return;
  }
  Open(leaf, pool, std::move(call), answer_by);
}

ClientConnection& LeafConnections::Open(const forward::LeafRecord& leaf,
                                        Pool& pool, LeafCall call,
                                        base::TimePoint answer_by) {
  auto connection = std::make_shared<ClientConnection>(io_, *this, clock_);
  slots_[connection.get()] = {.connection = connection,
                              .leaf = leaf.entry().id,
                              .call = call.id,
                              .request_id = std::move(call.request_id)};
  if (call.id != 0) by_call_[call.id] = connection.get();
  ++pool.open;
  ++counters_.opened;
  connection->LimitAnswers(kMaxAnswerBytes, quota_);
  if (pool.linked) connection->KeepProbing(kLinkProbe);
  connection->Open(leaf.entry().address, std::move(call.bytes), call.head,
                   clock_.Now() + kConnectTimeout, answer_by);
  return *connection;
}

void LeafConnections::Check(const forward::LeafRecord& leaf,
                            OnChecked on_checked) {
  const std::string& id = leaf.entry().id;
  std::vector<OnChecked>& waiting = checks_[id];
  waiting.push_back(std::move(on_checked));
  if (waiting.size() > 1) return;
  ClientConnection& connection =
      Open(leaf, pools_[id], {}, clock_.Now() + kConnectTimeout);
  slots_.at(&connection).checks = true;
}

void LeafConnections::FinishChecks(const std::string& leaf, bool ended) {
  const auto waiting = checks_.extract(leaf);
  if (waiting.empty()) return;
  for (const OnChecked& on_checked : waiting.mapped()) on_checked(ended);
}

void LeafConnections::Warm(const forward::LeafRecord& leaf) {
  Pool& pool = pools_[leaf.entry().id];
  const base::TimePoint now = clock_.Now();
  if (pool.open > 0 || now < pool.warm_after) return;
  pool.warm_after = now + kWarmPause;
  Open(leaf, pool, {}, now + kConnectTimeout);
}

void LeafConnections::Link(const forward::LeafRecord& host) {
  pools_[host.entry().id].linked = true;
  Warm(host);
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
  const auto found = slots_.find(&connection);
  if (found == slots_.end()) return;
  Slot& slot = found->second;
  pools_[slot.leaf].idle.push_back(slot.connection);
  if (std::exchange(slot.checks, false)) {
    FinishChecks(std::string(slot.leaf), /*ended=*/false);
    return;
  }
  const forward::CallId withdrawn = std::exchange(slot.call, 0);
  if (withdrawn == 0) return;
  by_call_.erase(withdrawn);
  on_done_(withdrawn, forward::CallFailure::kWithdrawn);
}

bool LeafConnections::Withdraw(forward::CallId call) {
  const auto found = by_call_.find(call);
  return found != by_call_.end() && found->second->Withdraw();
}

std::shared_ptr<ClientConnection> LeafConnections::TakeIdle(
    Pool& pool, const LeafCall& call) {
  const base::TimePoint now = clock_.Now();
  while (!pool.idle.empty()) {
    auto connection = std::move(pool.idle.back());
    pool.idle.pop_back();
    const base::Duration age = now - connection->idle_since();
    base::Duration limit = IdleLimit(*connection, pool.linked);
    if (call.needs_fresh_connection)
      limit = std::min<base::Duration>(kFreshAge, limit);
    if (!connection->closed() && age < limit) return connection;
    connection->Close();
    Drop(*connection);
  }
  return nullptr;
}

void LeafConnections::Cancel(forward::CallId call) {
  const auto found = by_call_.find(call);
  if (found == by_call_.end()) return;
  const auto connection = found->second->shared_from_this();
  connection->Close();
  Drop(*connection);
}

void LeafConnections::CheckTimeouts() {
  const base::TimePoint now = clock_.Now();
  std::vector<std::shared_ptr<ClientConnection>> busy;
  std::vector<std::shared_ptr<ClientConnection>> old;
  for (const auto& [key, slot] : slots_) {
    if (slot.connection->busy()) {
      busy.push_back(slot.connection);
    } else if (now - slot.connection->idle_since() >=
               IdleLimit(*slot.connection, pools_[slot.leaf].linked)) {
      old.push_back(slot.connection);
    }
  }
  for (const auto& connection : busy) connection->CheckTimeouts(now);
  for (const auto& connection : old) {
    connection->Close();
    Drop(*connection);
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
    Drop(*connection);
  }
}

void LeafConnections::Drop(ClientConnection& connection) {
  const auto found = slots_.find(&connection);
  if (found == slots_.end()) return;
  Pool& pool = pools_[found->second.leaf];
  std::erase_if(pool.idle, [&connection](const auto& idle) {
    return idle.get() == &connection;
  });
  --pool.open;
  by_call_.erase(found->second.call);
  slots_.erase(found);
}

void LeafConnections::OnResponse(ClientConnection& connection,
                                 HttpResponse response, bool reusable) {
  const auto keep = connection.shared_from_this();
  Slot& slot = slots_.at(&connection);
  if (!Answers(slot, response.fields)) {
    host::LogStateChange("answer_of_other_request", slot.leaf, slot.request_id);
    connection.Close();
    OnExchangeFailed(connection, ExchangeFailure::kBroken);
    return;
  }
  const forward::CallId call = std::exchange(slot.call, 0);
  by_call_.erase(call);
  pools_[slot.leaf].reachable_until = clock_.Now() + kReachableAfterUse;
  if (reusable) {
    pools_[slot.leaf].idle.push_back(keep);
  } else {
    Drop(connection);
  }
  on_done_(call, std::move(response));
}

bool LeafConnections::Answers(Slot& slot, const HttpFields& fields) const {
  const std::string_view repeated = fields.Find(id_field_);
  if (repeated.empty()) return !slot.repeats_ids;
  slot.repeats_ids = true;
  return repeated == slot.request_id;
}

void LeafConnections::OnInterim(ClientConnection& connection,
                                const HttpResponse& response) {
  const auto found = slots_.find(&connection);
  if (found == slots_.end() || found->second.call == 0 || !on_progress_) return;
  if (response.fields.Find(id_field_) != found->second.request_id) return;
  on_progress_(found->second.call, response);
}

void LeafConnections::OnExchangeFailed(ClientConnection& connection,
                                       ExchangeFailure failure) {
  const auto keep = connection.shared_from_this();
  const auto found = slots_.find(&connection);
  if (found == slots_.end()) return;
  const forward::CallId call = found->second.call;
  const std::string leaf = found->second.leaf;
  const bool checks = found->second.checks;
  ++counters_.broken;
  Drop(connection);
  // Other connections to a leaf that fell silent may have gone silent too.
  if (failure == ExchangeFailure::kTimedOut) CloseIdleOf(leaf);
  if (checks) FinishChecks(leaf, failure == ExchangeFailure::kRefused);
  if (call == 0) return;
  on_done_(call, ToCallFailure(failure));
}

void LeafConnections::OnIdleClosed(ClientConnection& connection) {
  const auto keep = connection.shared_from_this();
  Drop(connection);
}

}  // namespace berylreach::gateway
