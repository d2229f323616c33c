// The gateway: a host's request path, run on one event loop.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "berylreach/base/wakeup_queue.h"
#include "berylreach/forward/request_quarantine.h"
#include "berylreach/forward/request_run.h"
#include "berylreach/forward/route_table_history.h"
#include "berylreach/forward/shard_planner.h"
#include "berylreach/forward/shard_set_handover.h"
#include "berylreach/forward/suspect_queue.h"
#include "berylreach/forward/tenant_access.h"
#include "berylreach/gateway/feed_server.h"
#include "berylreach/gateway/gateway_counters.h"
#include "berylreach/gateway/gateway_settings.h"
#include "berylreach/gateway/leaf_connections.h"
#include "berylreach/gateway/quota_gate.h"
#include "berylreach/gateway/request_metrics.h"
#include "berylreach/gateway/server_connection.h"
#include "berylreach/gateway/tenant_metrics.h"
#include "berylreach/gateway/version_reporting.h"
#include "berylreach/limits/admission.h"

namespace berylreach::gateway {

class Listener;

/// Accepts caller connections, runs their requests and responds. All calls must
/// come from the event loop's thread.
class Gateway : public ServerConnectionHandler {
 public:
  /// Throws boost::system::system_error if an address cannot be bound.
  Gateway(boost::asio::io_context& io, const base::Clock& clock,
          GatewaySettings settings);
  ~Gateway() override;

  /// Puts `configuration` in force if its version is newer than any before, or
  /// later if its shards are not ready yet (forward::ShardSetHandover).
  /// `acknowledged_after` is explained at forward::ApplyRecordChanges.
  void SetConfiguration(forward::Configuration configuration,
                        base::TimePoint acknowledged_after);
  /// Same for a configuration that has just been acknowledged.
  void SetConfiguration(forward::Configuration configuration) {
    SetConfiguration(std::move(configuration), clock_.Now());
  }
  /// Sets the hosts that share budgets and leaf connections, including this
  /// one.
  void SetHosts(std::vector<forward::HostEntry> hosts);
  /// Number of hosts that share them.
  std::size_t HostCount() const { return service_shares_.hosts(); }
  forward::LeafDirectory& directory() { return directory_; }
  /// The change feed that this host serves to the hosts that follow it.
  FeedServer& feed() { return feed_; }
  /// Called when the first complete listing of the leaves has arrived.
  void SetDirectoryLoaded() { directory_loaded_ = true; }

  /// Sets how current this host's view of the deployment is. To be called
  /// several times a second.
  void SetViewCurrency(const forward::ViewCurrency& view);

  /// Sets the callback that is called after the process or its machine was
  /// suspended. Callers are then refused until OnStateRefreshed is called, but
  /// for at most one second.
  void SetOnProcessPaused(std::function<void()> on_process_paused) {
    on_process_paused_ = std::move(on_process_paused);
  }
  /// Confirms that this host's view of the deployment is current again after
  /// the process was paused.
  void OnStateRefreshed() {
    view_stale_until_ = {};
    quota_gate_.OnViewCurrent();
  }
  /// Handles a renewal of the lease of this host's registration, without which
  /// other hosts may take over the limits that it owns.
  void OnLeaseRenewed(const forward::LeaseRenewed& event) {
    quota_gate_.OnLeaseRenewed(event);
  }

  /// Handles the loss of this host's record, without which other hosts take
  /// over the limits that it owns, although its lease is renewed.
  void OnHostRecordLost() { quota_gate_.OnRegistrationLost(); }

  /// Sets the callback that publishes a suspect entry through the store: what
  /// this host has learned about a request suspected of crashing leaves.
  void SetSuspectPublisher(
      std::function<void(const model::SuspectEntry&)> publish) {
    publish_suspect_ = std::move(publish);
  }
  /// Merges an entry that another host published through the store.
  void MergeSuspect(const model::SuspectEntry& entry);
  const forward::RequestQuarantine& quarantine() const { return quarantine_; }

  /// This host's part in the version shifts of services.
  VersionReporting& version_reporting() { return version_reporting_; }
  /// The longest timeout of the routes that use the service; zero if none does.
  std::chrono::milliseconds LongestTimeout(const std::string& service) const;

  /// Begins a planned stop; `on_stopped` is called when it is complete.
  void Stop(std::function<void()> on_stopped);

  std::uint64_t configuration_version() const;

 private:
  /// A request that runs on this host.
  struct RunningRequest {
    std::unique_ptr<forward::RequestRun> run;
    std::weak_ptr<ServerConnection> connection;
    bool keep_alive = true;
    /// The method is HEAD.
    bool is_head = false;
    /// Number of leaf calls that admission control counts for this request.
    std::size_t admitted_calls = 0;
    /// Tenant for which admission control counts the request; set if the
    /// configuration has tenants.
    std::optional<std::string> admitted_tenant;
    /// Another host, rather than a caller, asked for the run.
    bool for_other_host = false;
    /// The request runs on one leaf first, because a leaf may have crashed
    /// while it ran an earlier attempt.
    bool probed_first = false;
    /// Number of unanswered calls that the quarantine has been told of.
    std::size_t reported_unanswered = 0;
    /// ShardDigest of the route, set if other hosts run groups of its shards.
    std::uint64_t shard_digest = 0;
  };
  /// A call to a leaf, or to another host for a group of shards.
  struct RunningCall {
    std::uint64_t request = 0;
    /// The leaf that was called, or the host that runs a group of shards.
    std::shared_ptr<forward::LeafRecord> callee;
    bool is_group = false;
    std::string request_id;
    /// The request may have crashed a leaf and none of its other calls is
    /// running; see forward::LostCall.
    bool sole_call = false;
    base::TimePoint sent{};
    /// What the end of a leaf call is counted with during a version shift.
    std::string route;
    bool was_cold = false;
    bool is_suspect = false;
  };
  /// A health check of a leaf that may have crashed.
  struct HealthCheck {
    std::shared_ptr<forward::LeafRecord> leaf;
    base::TimePoint sent{};
  };
  class HealthServer;
  class PeerServer;

  void AddConnection(const std::shared_ptr<ServerConnection>& connection);
  /// Handles a request of another host: a poll of the change feed, a suspect
  /// entry or a group of shards.
  void OnPeerRequest(ServerConnection& connection, HttpRequest request);
  /// Checks whether a caller's request can be run, and starts or refuses it.
  void HandleRequest(ServerConnection& connection, HttpRequest request);
  /// Returns the route of the request's target in `table`, or null if there is
  /// none.
  static const forward::Route* FindRoute(const forward::RouteTable& table,
                                         const HttpRequest& request);
  void OnRequest(ServerConnection& connection, HttpRequest request) override;
  void OnClosed(ServerConnection& connection) override;
  /// Refuses a request for its key or for lack of an allowed region.
  void RefuseAccess(ServerConnection& connection, const HttpRequest& request,
                    forward::AccessRefusal refusal);
  /// Starts a request on the terms of `access`. `subset` holds the shards that
  /// another host asks for; null for a caller's request.
  void StartRun(ServerConnection& connection, HttpRequest request,
                const forward::RouteTableHistory::Table& table,
                const forward::Route& route, forward::TenantAccess access,
                const forward::ShardSubset* subset);
  /// Chooses the service of a request by the weights of the route's services.
  const std::string& ChooseService(const forward::Route& route);
  /// Decides whether and how the request may run. `for_other_host` is true if
  /// another host, rather than a caller, asks for the run.
  forward::RunPermit PermitFor(const forward::Route& route,
                               std::uint64_t fingerprint, bool for_other_host);
  /// Refuses a request that may not run now because earlier attempts crashed
  /// leaves.
  void RefuseSuspect(ServerConnection& connection, const HttpRequest& request,
                     forward::RunPermit permit, std::uint64_t fingerprint);
  forward::CallerRequest ToCallerRequest(HttpRequest request,
                                         std::uint64_t fingerprint) const;
  /// Serializes a call that forwards the caller's request. The message states
  /// the time left until `deadline`.
  std::string FormatCall(const forward::CallerRequest& caller,
                         base::TimePoint deadline,
                         std::string_view extra_fields) const;
  /// Ends a request whose caller has disconnected.
  void AbandonRequest(std::uint64_t id);
  /// Abandons a group call to a host that does not respond.
  void AbandonGroup(forward::CallId call);
  void CancelCall(forward::CallId call, forward::CallOutcome outcome);
  /// Executes the actions of a request's run and schedules its next wakeup.
  void Execute(std::uint64_t id, std::vector<forward::RunAction>& actions);
  void SendCall(RunningRequest& request, std::uint64_t id,
                forward::StartLeafCall& action);
  void SendGroupCall(const RunningRequest& request, std::uint64_t id,
                     forward::StartGroupCall& action);
  /// Handles an interim response with the partial answer of a host that runs a
  /// group of shards.
  void OnGroupProgress(forward::CallId call, const HttpResponse& response);
  /// Sends the partial answer of a group to the host that asked for it, as an
  /// interim response.
  void SendGroupProgress(const RunningRequest& request,
                         const forward::GroupReply& reply);
  /// Handles the result of a call to another host for a group of shards.
  void OnGroupDone(const RunningCall& running, forward::CallId call,
                   LeafConnections::Result result);
  /// Handles the result of a leaf call and updates the leaf's record.
  void OnLeafDone(const RunningCall& running, forward::CallId call,
                  LeafConnections::Result result);
  /// Sends the final response of a request, and counts and logs its outcome.
  void Finish(std::uint64_t id, forward::CallerReply reply);
  /// Returns the header line with which a response repeats the request id.
  std::string RequestIdLine(std::string_view id) const;
  void LogOutcome(const forward::RequestRun& run, int status,
                  const forward::CallerReply& reply,
                  base::Duration latency) const;
  /// Handles the result of any call.
  void OnCallDone(forward::CallId call, LeafConnections::Result result);
  /// Handles a call whose connection was lost before the response; checks
  /// whether the leaf has crashed.
  void OnCallLost(const RunningCall& running);
  /// Reports requests to the quarantine that no leaf has answered for long.
  void ReportUnansweredCalls();
  /// Reports the end of a request's run to the quarantine.
  void EndQuarantineRun(std::uint64_t id, const RunningRequest& request);
  /// Checks leaves that may have crashed while they ran a request.
  void CheckSuspectLeaves();
  void SendHealthCheck(const std::shared_ptr<forward::LeafRecord>& leaf);
  void OnHealthCheckDone(const HealthCheck& check,
                         const LeafConnections::Result& result);
  /// Marks the leaf with this id, if there is one, as one that may be down.
  void MarkDoubtful(const std::string& id);
  /// Reports a refused connection to the quarantine; other results show
  /// nothing.
  void ObserveConnectResult(const forward::LeafRecord& leaf,
                            LeafConnections::ConnectResult result);
  /// Reports an observation of a leaf to the quarantine. `at` is explained at
  /// LeafObservation.
  void ObserveLeaf(const forward::LeafRecord& leaf, forward::LeafSign sign,
                   base::TimePoint at);
  /// Reports to the quarantine which incarnations discovery lists.
  void ObserveDirectory();
  /// Sends queued suspect entries to other hosts, as fast as the queue's rate
  /// limit allows.
  void NotifyHosts();
  void NotifyHost(const forward::LeafRecord& host,
                  const model::SuspectEntry& entry);
  /// Handles a suspect entry that another host sends directly.
  void OnSuspectNotification(ServerConnection& connection,
                             const HttpRequest& request);
  /// Publishes the entries of the quarantine's actions through the store and
  /// directly to other hosts.
  void PublishSuspects(const forward::RequestQuarantine::Actions& actions);
  static void LogSuspect(const model::SuspectEntry& entry,
                         const std::string& source);
  /// Logs a Retry-After field that cannot be parsed.
  static void LogMalformedRetryAfter(const RunningCall& running,
                                     const HttpFields& fields);
  /// Applies what a leaf says about itself in a response: that it is leaving,
  /// requests a pause or limits the rate of calls.
  void ApplyLeafNotices(const RunningCall& running,
                        const forward::LeafReply& reply);
  void ApplyRateLimit(const RunningCall& running, std::optional<double> rate);
  /// Logs that the leaf is backed off, unless it already was.
  void LogBackOff(const forward::LeafRecord& leaf, bool was_backed_off,
                  const std::string& request) const;
  forward::LeafReply ToLeafReply(HttpResponse response) const;
  /// Refuses a request that was not started.
  void RefuseAtOnce(ServerConnection& connection, const HttpRequest& request,
                    int status, std::string_view cause,
                    std::chrono::milliseconds retry_after);
  /// Puts the quotas of the tenants in force.
  void SetQuotas(const forward::Configuration& configuration);
  /// Whether the request needs a token of its tenant's quota.
  bool IsCharged(const HttpRequest& request) const;
  /// Starts or refuses a request as soon as it is decided whether it is within
  /// its tenant's quota.
  void ChargeQuota(ServerConnection& connection, HttpRequest request,
                   forward::RouteTableHistory::Table table,
                   const forward::Route& route, forward::TenantAccess access);
  /// Refuses a request by the quota in the configuration `version`.
  void RefuseByQuota(ServerConnection& connection, const HttpRequest& request,
                     std::uint64_t version, const QuotaDecision& decision);
  /// Returns false if the host is not known.
  bool SendQuotaMessage(std::uint64_t id, const std::string& host,
                        const std::string& body, base::TimePoint deadline);
  /// Returns false if the call is not a message of the quota gate.
  bool OnQuotaMessageDone(forward::CallId call,
                          const LeafConnections::Result& result);
  /// Answers claims of another host.
  void OnQuotaMessage(ServerConnection& connection, const HttpRequest& request);
  /// Arms the timer for the earliest wakeup of a request.
  void ArmTimer();
  void OnTimer();
  void SchedulePeriodicTasks();
  /// Runs everything that is checked at a fixed interval, such as timeouts of
  /// connections.
  void RunPeriodicTasks();
  /// Passes the end of a leaf call to the version shifts. `reply` is null if
  /// there was no response.
  void ObserveEndedCall(const RunningCall& running,
                        forward::CallOutcome outcome,
                        const forward::LeafReply* reply);
  /// Sends an encoded version report to another host.
  std::optional<forward::CallId> SendVersionReport(const std::string& host,
                                                   const std::string& body);
  /// Handles a version report that another host sends.
  void OnVersionReport(ServerConnection& connection,
                       const HttpRequest& request);
  /// Opens connections ahead of calls, to leaves of recently used shards and to
  /// other hosts.
  void WarmConnections();
  void AdoptConfiguration(forward::Configuration configuration);
  /// Puts a version in force that has waited for its shards, or opens
  /// connections to their leaves and hosts ahead.
  void AdvanceShardSets();
  void LogShardSetChanges();
  /// Opens part of the connections that this host needs for the new set of
  /// `route`, which is to be used from `change_at` on.
  void OpenAhead(const forward::Route& route, base::TimePoint change_at);
  /// Returns a table whose route has these shards: that in force, one of those
  /// replaced recently, or the one that routes are about to change to. Null if
  /// there is none.
  template <typename Accepts>
  forward::RouteTableHistory::Table FindTable(Accepts accepts) const {
    auto table = tables_.Find(accepts);
    if (table != nullptr) return table;
    const auto& waiting = shard_sets_.waiting();
    return waiting != nullptr && accepts(*waiting) ? waiting : nullptr;
  }
  bool IsReady() const;
  /// Detects that the process has not run for a while.
  void DetectProcessPause();
  bool ViewMayBeStale() const;
  forward::CallerLimits Limits() const;
  /// Time after a planned stop begins for which requests are still accepted.
  std::chrono::milliseconds AcceptanceAfterStop() const;
  /// Advances the planned stop: stops accepting, closes idle connections, ends
  /// the last requests and reports the end of the stop.
  void ContinueStop();
  /// Ends the requests that a planned stop cannot wait for, with a response.
  void GiveUpRequests();
  std::string Metrics() const;

  boost::asio::io_context& io_;
  const base::Clock& clock_;
  GatewaySettings settings_;
  forward::LeafDirectory directory_;
  FeedServer feed_;
  forward::ColdCallLimit cold_call_limit_;
  forward::ServiceShares service_shares_;
  forward::LeafRateLimit leaf_rate_limit_;
  forward::LeafSelector selector_;
  forward::ExtraCallBudget extra_call_budget_;
  limits::Admission admission_;
  forward::ShardPlanner planner_;
  forward::RequestQuarantine quarantine_;
  /// Suspect entries to be sent directly to other hosts.
  forward::SuspectQueue suspect_queue_;
  forward::RouteTableHistory tables_;
  forward::ShardSetHandover shard_sets_;
  forward::RunContext context_;
  bool directory_loaded_ = false;

  std::unique_ptr<Listener> caller_listener_;
  std::unique_ptr<HealthServer> health_server_;
  std::unique_ptr<PeerServer> peer_server_;
  std::unordered_map<ServerConnection*, std::shared_ptr<ServerConnection>>
      connections_;
  std::unordered_map<ServerConnection*, std::uint64_t> request_by_connection_;
  std::unordered_map<std::uint64_t, RunningRequest> requests_;
  std::unordered_map<forward::CallId, RunningCall> calls_;
  std::unordered_map<forward::CallId, HealthCheck> health_checks_;
  std::uint64_t next_id_ = 1;
  /// Number of requests of each route that has several services, by route name;
  /// used to distribute them by weight.
  std::unordered_map<std::string, std::uint64_t> split_counts_;
  /// When this host last called a leaf of a shard, by the shard's service name.
  std::unordered_map<std::string, base::TimePoint> last_shard_call_;
  base::TimePoint warmed_at_{};
  LeafConnections leaf_connections_;
  QuotaGate quota_gate_;
  /// Requests that wait for their quota.
  std::unordered_map<ServerConnection*, std::uint64_t> quota_by_connection_;
  /// When a refusal by quota was last logged, by tenant.
  std::unordered_map<std::string, base::TimePoint> quota_logged_at_;
  VersionReporting version_reporting_;
  base::WakeupQueue<std::uint64_t> wakeups_;
  boost::asio::steady_timer timer_;
  /// When timer_ expires; a time in the past if it is not armed.
  base::TimePoint timer_at_{};
  boost::asio::steady_timer periodic_timer_;
  GatewayCounters counters_;
  RequestMetrics metrics_;
  TenantMetrics tenant_metrics_;

  std::function<void(const model::SuspectEntry&)> publish_suspect_;
  std::function<void()> on_process_paused_;
  /// When the event loop was last seen running.
  base::TimePoint last_active_at_{};
  base::TimePoint view_stale_until_{};

  std::function<void()> on_stopped_;
  base::TimePoint stop_started_{};
  bool stopping_ = false;
};

}  // namespace berylreach::gateway
