// The host's request path on one event loop.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "berylreach/base/wakeup_queue.h"
#include "berylreach/forward/request_quarantine.h"
#include "berylreach/forward/request_run.h"
#include "berylreach/forward/shard_planner.h"
#include "berylreach/forward/suspect_queue.h"
#include "berylreach/forward/table_history.h"
#include "berylreach/gateway/feed_server.h"
#include "berylreach/gateway/gateway_counters.h"
#include "berylreach/gateway/gateway_settings.h"
#include "berylreach/gateway/leaf_connections.h"
#include "berylreach/gateway/request_metrics.h"
#include "berylreach/gateway/server_connection.h"
#include "berylreach/limits/admission.h"

namespace berylreach::gateway {

class Listener;

/// Accepts callers, runs their requests and answers them. All calls come from
/// the event loop's thread.
class Gateway : public ServerConnectionHandler {
 public:
  /// Throws boost::system::system_error if an address cannot be bound.
  Gateway(boost::asio::io_context& io, const base::Clock& clock,
          GatewaySettings settings);
  ~Gateway() override;

  /// Puts a configuration in force; an older version than the present one is
  /// ignored.
  void SetConfiguration(forward::Configuration configuration);
  /// The hosts that share budgets and connections, this one among them.
  void SetHosts(std::vector<forward::HostEntry> hosts);
  forward::LeafDirectory& directory() { return directory_; }
  /// What hosts that follow this one learn.
  FeedServer& feed() { return feed_; }
  /// The first complete listing of the leaves has arrived.
  void SetDirectoryLoaded() { directory_loaded_ = true; }

  /// `on_paused` is called when the process or its machine has not run for a
  /// while. Callers are refused until OnStateRefreshed, or for a second.
  void SetOnPaused(std::function<void()> on_paused) {
    on_paused_ = std::move(on_paused);
  }
  /// What this host knows of the deployment is the present state.
  void OnStateRefreshed() { unconfirmed_until_ = {}; }

  /// `publish` tells the other hosts what this one has learned of a request
  /// that ends its leaves.
  void SetSuspectPublisher(
      std::function<void(const model::SuspectEntry&)> publish) {
    publish_suspect_ = std::move(publish);
  }
  /// Another host has learned of such a request, by the store.
  void MergeSuspect(const model::SuspectEntry& entry);
  const forward::RequestQuarantine& quarantine() const { return quarantine_; }

  /// Begins a planned stop; `on_stopped` is called at its end.
  void Stop(std::function<void()> on_stopped);

  std::uint64_t configuration_version() const;

 private:
  struct RunningRequest {
    std::unique_ptr<forward::RequestRun> run;
    std::weak_ptr<ServerConnection> connection;
    bool keep_alive = true;
    bool head = false;
    /// Calls that the admission counts.
    std::size_t admitted_calls = 0;
    /// A leaf may have ended under an earlier attempt.
    bool probed_first = false;
    /// Digest of the route's shards, if other hosts run groups of them.
    std::uint64_t shard_digest = 0;
  };
  struct RunningCall {
    std::uint64_t request = 0;
    /// The leaf, or the host that runs a group of shards.
    std::shared_ptr<forward::LeafRecord> callee;
    bool is_group = false;
    std::string request_id;
    /// See forward::LostCall.
    bool alone = false;
    base::TimePoint sent{};
  };
  class HealthServer;
  class PeerServer;

  void AddConnection(const std::shared_ptr<ServerConnection>& connection);
  void OnPeerRequest(ServerConnection& connection, HttpRequest request);
  void Handle(ServerConnection& connection, HttpRequest request);
  /// The route of the request's target in the table; null if there is none.
  static const forward::Route* FindRoute(const forward::RouteTable& table,
                                         const HttpRequest& request);
  void OnRequest(ServerConnection& connection, HttpRequest request) override;
  void OnClosed(ServerConnection& connection) override;
  /// `subset` is what another host asks for; null for a caller's request.
  void StartRun(ServerConnection& connection, HttpRequest request,
                const forward::RouteTableHistory::Table& table,
                const forward::Route& route,
                const forward::ShardSubset* subset);
  const std::string& PickService(const forward::Route& route);
  /// How the request may run, here or `for_other_host`.
  forward::RunPermit PermitFor(const forward::Route& route,
                               std::uint64_t fingerprint, bool for_other_host);
  /// Refuses a request that may not run now because of what its earlier
  /// attempts did to leaves.
  void RefuseSuspect(ServerConnection& connection, const HttpRequest& request,
                     forward::RunPermit permit, std::uint64_t fingerprint);
  forward::CallerRequest ToCallerRequest(HttpRequest request,
                                         std::uint64_t fingerprint) const;
  /// The request as a message that names how long the sender waits.
  std::string CallBytes(const forward::CallerRequest& caller,
                        base::TimePoint deadline,
                        std::string_view extra_fields) const;
  /// The caller of a request has left.
  void Abandon(std::uint64_t id);
  /// Gives up a call to a host that is silent.
  void AbandonGroup(forward::CallId call);
  void CancelCall(forward::CallId call, forward::CallOutcome outcome);
  void Execute(std::uint64_t id, std::vector<forward::RunAction>& actions);
  void SendCall(RunningRequest& request, std::uint64_t id,
                forward::StartLeafCall& action);
  void SendGroupCall(const RunningRequest& request, std::uint64_t id,
                     forward::StartGroupCall& action);
  /// The host that runs a group says what it has so far.
  void OnGroupProgress(forward::CallId call, const HttpResponse& response);
  void Report(const RunningRequest& request, const forward::GroupReply& reply);
  void OnGroupDone(const RunningCall& running, forward::CallId call,
                   LeafConnections::Result result);
  void OnLeafDone(const RunningCall& running, forward::CallId call,
                  LeafConnections::Result result);
  void Finish(std::uint64_t id, forward::CallerReply reply);
  /// The header line of an answer that names its request.
  std::string IdLine(std::string_view id) const;
  void LogOutcome(const forward::RequestRun& run, int status,
                  const forward::CallerReply& reply, base::Duration took) const;
  void OnCallDone(forward::CallId call, LeafConnections::Result result);
  /// The connection of a call ended before its answer; finds out whether the
  /// leaf has ended.
  void OnCallLost(const RunningCall& running);
  void EndQuarantineRun(std::uint64_t id, const RunningRequest& request);
  /// Passes news of such requests on to other hosts, as fast as its bound
  /// allows.
  void NotifyHosts();
  void NotifyHost(const forward::LeafRecord& host,
                  const model::SuspectEntry& entry);
  /// Another host passes such news on.
  void OnSuspectNotification(ServerConnection& connection,
                             const HttpRequest& request);
  void PublishSuspects(const forward::RequestQuarantine::Actions& actions);
  static void LogSuspect(const model::SuspectEntry& entry,
                         const std::string& source);
  static void LogMalformedPause(const RunningCall& running,
                                const HttpFields& fields);
  /// Takes over what a leaf says of itself in an answer.
  void HeedLeaf(const RunningCall& running, const forward::LeafReply& reply);
  void LogBackOff(const forward::LeafRecord& leaf, bool before,
                  const std::string& request) const;
  forward::LeafReply ToLeafReply(HttpResponse response) const;
  void RefuseAtOnce(ServerConnection& connection, const HttpRequest& request,
                    int status, std::string_view cause,
                    std::chrono::milliseconds retry_after);
  void ArmTimer();
  void OnTimer();
  void ScheduleSweep();
  void Sweep();
  void WarmConnections();
  bool Ready() const;
  /// Notices that the process has not run for a while.
  void NoticePause();
  bool ViewMayBeOld() const;
  forward::CallerLimits Limits() const;
  void ContinueStop();
  /// Answers the requests that a planned stop cannot wait for.
  void GiveUpRequests();
  std::string Metrics() const;

  boost::asio::io_context& io_;
  const base::Clock& clock_;
  GatewaySettings settings_;
  forward::LeafDirectory directory_;
  FeedServer feed_;
  forward::ColdCallLimit cold_;
  forward::ServiceShares shares_;
  forward::LeafSelector selector_;
  forward::ExtraCallBudget budget_;
  limits::Admission admission_;
  forward::ShardPlanner planner_;
  forward::RequestQuarantine quarantine_;
  /// What other hosts are to be told directly.
  forward::SuspectQueue news_;
  forward::RouteTableHistory tables_;
  forward::RunContext context_;
  bool directory_loaded_ = false;

  std::unique_ptr<Listener> callers_;
  std::unique_ptr<HealthServer> health_;
  std::unique_ptr<PeerServer> peers_;
  std::unordered_map<ServerConnection*, std::shared_ptr<ServerConnection>>
      connections_;
  std::unordered_map<ServerConnection*, std::uint64_t> request_of_;
  std::unordered_map<std::uint64_t, RunningRequest> requests_;
  std::unordered_map<forward::CallId, RunningCall> calls_;
  std::uint64_t next_id_ = 1;
  /// Requests of each splitting route, by name; spreads them by weight.
  std::unordered_map<std::string, std::uint64_t> split_counts_;
  /// When this host last called a leaf of a shard, by service.
  std::unordered_map<std::string, base::TimePoint> shard_used_;
  base::TimePoint warmed_at_{};
  LeafConnections leaf_connections_;
  base::WakeupQueue<std::uint64_t> wakeups_;
  boost::asio::steady_timer timer_;
  base::TimePoint timer_at_{};
  boost::asio::steady_timer sweep_timer_;
  GatewayCounters counters_;
  RequestMetrics metrics_;

  std::function<void(const model::SuspectEntry&)> publish_suspect_;
  std::function<void()> on_paused_;
  /// When the event loop was last seen to run.
  base::TimePoint alive_at_{};
  base::TimePoint unconfirmed_until_{};

  std::function<void()> on_stopped_;
  base::TimePoint stop_began_{};
  bool stopping_ = false;
};

}  // namespace berylreach::gateway
