// Start, planned stop and periodic tasks of the gateway, and the checks that
// precede each request.
#include "berylreach/gateway/gateway.h"

#include <algorithm>
#include <utility>

#include "berylreach/build_info/build_info.h"
#include "berylreach/gateway/leaf_metrics.h"
#include "berylreach/host/log.h"
#include "health_server.h"
#include "listener.h"
#include "peer_server.h"
#include "response_bytes.h"
#include "tenant_fields.h"

namespace berylreach::gateway {
namespace {

using std::chrono::milliseconds;

/// Interval of the periodic checks; the timeouts that they enforce need no
/// higher precision.
constexpr milliseconds kPeriodicInterval{100};

/// How far a wakeup may deviate from its set time. A smaller deviation is not
/// worth the system call that re-arms the timer.
constexpr milliseconds kTimerSlack{1};

/// Every kWarmInterval, a host opens connections to the leaves of all shards
/// that it called within kKeepWarmAfterUse. A hedge to a leaf in another region
/// that had to open a connection first would come too late for the usual
/// latency objectives.
constexpr milliseconds kWarmInterval{500};
constexpr std::chrono::seconds kKeepWarmAfterUse{10};

/// Time after a stop begins for which new connections are accepted: load
/// balancers may need this long to notice that the host is not ready. At most
/// half of the grace period, so that accepted requests can end.
constexpr milliseconds kAcceptAfterStop{3000};
/// How long before the end of the stop grace period the process exits, so that
/// the platform does not kill it; and how long before that end the last
/// requests are ended, so that their responses can still be written.
constexpr milliseconds kExitMargin{400};
constexpr milliseconds kLastResponsesMargin{800};

/// Time without a run of the event loop after which the process counts as
/// paused, and its view of the deployment may be stale.
constexpr milliseconds kProcessPauseThreshold{1500};
/// Longest time for which a host that was paused waits until its view is
/// confirmed. Afterwards the host serves with the view that it has, like any
/// host that cannot reach the store.
constexpr milliseconds kMaxConfirmWait{1000};

/// Retry-After while the host has no configuration or its view may be stale.
constexpr milliseconds kStartingRetryAfter{300};

/// Limits of admission control: requests and leaf calls in flight that one core
/// can handle within the usual latency objectives. Queueing more than that
/// would only make all requests late.
constexpr double kRequestsPerCore = 256;
constexpr double kLeafCallsPerCore = 6144;

/// Heartbeats of a leaf within which discovery lists a process that has started
/// under a former id: one until it writes, and one until that shows.
constexpr int kRestartListedHeartbeats = 2;

limits::AdmissionOptions AdmissionFor(double cores) {
  return {
      .max_requests =
          static_cast<std::size_t>(std::max(16.0, kRequestsPerCore * cores)),
      .max_leaf_calls =
          static_cast<std::size_t>(std::max(512.0, kLeafCallsPerCore * cores))};
}

}  // namespace

Gateway::Gateway(boost::asio::io_context& io, const base::Clock& clock,
                 GatewaySettings settings)
    : io_(io),
      clock_(clock),
      settings_(std::move(settings)),
      directory_(clock, settings_.location),
      feed_(clock),
      cold_call_limit_(clock, settings_.cold_calls),
      service_shares_(clock),
      leaf_rate_limit_(service_shares_),
      selector_(clock, directory_, cold_call_limit_, leaf_rate_limit_,
                service_shares_),
      extra_call_budget_(clock, settings_.extra_calls, service_shares_),
      admission_(clock, AdmissionFor(settings_.cores)),
      planner_(clock, settings_.host, settings_.location, directory_, selector_,
               service_shares_),
      quarantine_(clock, kRestartListedHeartbeats * settings_.leaf_heartbeat),
      suspect_queue_(clock),
      tables_(clock),
      shard_sets_(clock, directory_, settings_.config_apply),
      context_{clock,
               selector_,
               extra_call_budget_,
               settings_.record_bytes,
               [this] { return next_id_++; },
               [this](const forward::LeafRecord& host) {
                 return leaf_connections_.HasIdle(host.entry().id);
               },
               [this](forward::CallId call) {
                 return leaf_connections_.Withdraw(call);
               }},
      leaf_connections_(
          io, clock, settings_.names.request_id,
          [this](forward::CallId call, LeafConnections::Result result) {
            OnCallDone(call, std::move(result));
          },
          [this](forward::CallId call, const HttpResponse& response) {
            OnGroupProgress(call, response);
          },
          [this](const std::string& peer) { MarkDoubtful(peer); }),
      quota_gate_(
          io, clock, settings_.host, settings_.location, settings_.quotas,
          [this] { return next_id_++; },
          [this](std::uint64_t id, const std::string& host,
                 const std::string& body, base::TimePoint deadline) {
            return SendQuotaMessage(id, host, body, deadline);
          }),
      version_reporting_(
          clock, settings_.host, settings_.exposure,
          [this](const std::string& host, const std::string& body) {
            return SendVersionReport(host, body);
          }),
      timer_(io),
      periodic_timer_(io),
      last_active_at_(clock.Now()) {
  ObserveDirectory();
  selector_.SetVersionShifts(&version_reporting_.shifts());
  planner_.SetReachable([this](const forward::LeafRecord& host) {
    return leaf_connections_.IsReachable(host.entry().id);
  });
  health_server_ = std::make_unique<HealthServer>(
      io, clock, settings_.health_address, [this] { return IsReady(); },
      [this] { return Metrics(); });
  if (!settings_.peer_address.empty())
    peer_server_ =
        std::make_unique<PeerServer>(io, settings_.peer_address, *this);
  caller_listener_ = std::make_unique<Listener>(
      io, settings_.caller_address,
      [this](boost::asio::ip::tcp::socket socket) {
        AddConnection(std::make_shared<ServerConnection>(
            std::move(socket), *this, clock_, Limits()));
      });
  SchedulePeriodicTasks();
}

Gateway::~Gateway() {
  for (auto& [key, connection] : connections_) connection->Close();
}

void Gateway::SetHosts(std::vector<forward::HostEntry> hosts) {
  std::vector<std::string> names;
  for (const forward::HostEntry& host : hosts) names.push_back(host.name);
  version_reporting_.SetHosts(names);
  cold_call_limit_.SetHosts(settings_.host, std::move(names));
  leaf_rate_limit_.SetHosts(settings_.host, settings_.location, hosts);
  quota_gate_.SetHosts(hosts);
  host::LogStateChange("hosts", std::to_string(hosts.size()), "");
  planner_.SetHosts(std::move(hosts));
}

std::uint64_t Gateway::configuration_version() const {
  const auto& table = tables_.current();
  return table ? table->configuration().version : 0;
}

bool Gateway::IsReady() const {
  return !stopping_ && tables_.current() != nullptr && directory_loaded_ &&
         !ViewMayBeStale();
}

bool Gateway::ViewMayBeStale() const {
  return clock_.Now() < view_stale_until_;
}

void Gateway::DetectProcessPause() {
  const base::TimePoint now = clock_.Now();
  const base::TimePoint before = std::exchange(last_active_at_, now);
  if (now - before < kProcessPauseThreshold) return;
  const auto paused = std::chrono::duration_cast<milliseconds>(now - before);
  host::LogStateChange("paused", settings_.host,
                       std::to_string(paused.count()) + " ms");
  view_stale_until_ = now + kMaxConfirmWait;
  quarantine_.OnProcessPaused();
  quota_gate_.OnProcessPaused();
  if (on_process_paused_) on_process_paused_();
}

void Gateway::AddConnection(
    const std::shared_ptr<ServerConnection>& connection) {
  connections_[connection.get()] = connection;
  connection->Start();
}

forward::CallerLimits Gateway::Limits() const {
  const auto& table = tables_.current();
  return table ? table->configuration().limits : forward::CallerLimits{};
}

void Gateway::OnRequest(ServerConnection& connection, HttpRequest request) {
  DetectProcessPause();
  ++counters_.requests;
  HandleRequest(connection, std::move(request));
}

void Gateway::HandleRequest(ServerConnection& connection, HttpRequest request) {
  const forward::RouteTableHistory::Table table = tables_.current();
  if (!table || !directory_loaded_) {
    RefuseAtOnce(connection, request, 503, "no configuration yet",
                 kStartingRetryAfter);
    return;
  }
  if (ViewMayBeStale()) {
    RefuseAtOnce(connection, request, 503, "the host was paused",
                 kStartingRetryAfter);
    return;
  }
  if (request.target.empty() || request.target[0] != '/' ||
      request.fields.Find(settings_.names.request_id).empty()) {
    RefuseAtOnce(connection, request, 400, "malformed request",
                 milliseconds(0));
    return;
  }
  const forward::Route* route = FindRoute(*table, request);
  if (route == nullptr) {
    RefuseAtOnce(connection, request, 404, "no route", milliseconds(0));
    return;
  }
  forward::TenantAccess access =
      TakeKey(*table, *route, settings_.names, request);
  if (!request.tenant.empty()) tenant_metrics_.OnRequest(request.tenant);
  if (access.refusal != forward::AccessRefusal::kNone) {
    RefuseAccess(connection, request, access.refusal);
    return;
  }
  if (stopping_ && clock_.Now() >= stop_started_ + AcceptanceAfterStop()) {
    RefuseAtOnce(connection, request, 503, "stopping", milliseconds(50));
    return;
  }
  if (IsCharged(request)) {
    ChargeQuota(connection, std::move(request), table, *route,
                std::move(access));
    return;
  }
  StartRun(connection, std::move(request), table, *route, std::move(access),
           nullptr);
}

void Gateway::ArmTimer() {
  const auto earliest = wakeups_.Earliest();
  if (!earliest) return;
  const base::TimePoint now = clock_.Now();
  const bool armed = timer_at_ > now;
  if (armed && timer_at_ <= *earliest + kTimerSlack) return;
  timer_at_ = std::max(*earliest, now);
  timer_.expires_after(timer_at_ - now);
  timer_.async_wait([this](boost::system::error_code error) {
    if (!error) OnTimer();
  });
}

void Gateway::OnTimer() {
  timer_at_ = {};
  const base::TimePoint now = clock_.Now();
  while (const auto id = wakeups_.PopDue(now + kTimerSlack)) {
    const auto found = requests_.find(*id);
    if (found == requests_.end()) continue;
    std::vector<forward::RunAction> actions;
    found->second.run->Tick(actions);
    Execute(*id, actions);
  }
  ArmTimer();
}

void Gateway::SchedulePeriodicTasks() {
  periodic_timer_.expires_after(kPeriodicInterval);
  periodic_timer_.async_wait([this](boost::system::error_code error) {
    if (error) return;
    SchedulePeriodicTasks();
    RunPeriodicTasks();
  });
}

void Gateway::RunPeriodicTasks() {
  DetectProcessPause();
  const base::TimePoint now = clock_.Now();
  // Timers do not advance while the machine is suspended.
  OnTimer();
  directory_.Tick();
  cold_call_limit_.Tick();
  leaf_rate_limit_.Tick(clock_.Now());
  AdvanceShardSets();
  if (!ViewMayBeStale()) quota_gate_.OnViewCurrent();
  quota_gate_.Tick();
  version_reporting_.Tick();
  ReportUnansweredCalls();
  forward::RequestQuarantine::Actions actions;
  quarantine_.Tick(actions);
  PublishSuspects(actions);
  CheckSuspectLeaves();
  leaf_connections_.CheckTimeouts();
  leaf_connections_.CloseIdle([this](const std::string& leaf) {
    if (planner_.IsKnownHost(leaf)) return true;
    const auto record = directory_.Find(leaf);
    return record != nullptr && !record->removed();
  });
  // A copy, since a connection that times out is removed from connections_.
  std::vector<std::shared_ptr<ServerConnection>> all;
  all.reserve(connections_.size());
  for (const auto& [key, connection] : connections_) all.push_back(connection);
  for (const auto& connection : all) connection->CheckTimeouts(now);
  health_server_->CheckTimeouts(now);
  feed_.CheckTimeouts();
  if (now - warmed_at_ >= kWarmInterval) WarmConnections();
  if (stopping_) ContinueStop();
}

void Gateway::WarmConnections() {
  const base::TimePoint now = clock_.Now();
  warmed_at_ = now;
  if (!tables_.current() || stopping_) return;
  std::erase_if(last_shard_call_, [now](const auto& entry) {
    return now - entry.second > kKeepWarmAfterUse;
  });
  for (const auto& [shard, used] : last_shard_call_) {
    directory_.ForEachUsable(shard, [this, now](const auto& leaf) {
      if (!leaf->IsBackedOff(now) && !leaf->IsPaused(now))
        leaf_connections_.Warm(*leaf);
    });
  }
  planner_.PlanAhead(*tables_.current());
  planner_.ForEachLinkedHost([this](const forward::LeafRecord& host) {
    leaf_connections_.KeepConnected(host);
  });
}

void Gateway::Stop(std::function<void()> on_stopped) {
  if (stopping_) return;
  stopping_ = true;
  stop_started_ = clock_.Now();
  on_stopped_ = std::move(on_stopped);
  feed_.SetFresh(false);
  quota_gate_.Stop();
  host::LogStateChange("stopping", settings_.host,
                       std::to_string(requests_.size()) + " requests running");
}

milliseconds Gateway::AcceptanceAfterStop() const {
  return std::min<milliseconds>(kAcceptAfterStop, settings_.stop_grace / 2);
}

void Gateway::ContinueStop() {
  const base::Duration elapsed = clock_.Now() - stop_started_;
  if (elapsed < AcceptanceAfterStop()) return;
  if (caller_listener_->is_open()) caller_listener_->Close();
  // A copy, since a connection that closes is removed from connections_.
  std::vector<std::shared_ptr<ServerConnection>> all;
  for (const auto& [key, connection] : connections_) all.push_back(connection);
  for (const auto& connection : all) connection->CloseIfIdle();
  if (elapsed >= settings_.stop_grace - kLastResponsesMargin) GiveUpRequests();
  const bool idle = requests_.empty() && connections_.empty();
  if (!idle && elapsed < settings_.stop_grace - kExitMargin) return;
  if (on_stopped_) std::exchange(on_stopped_, nullptr)();
}

void Gateway::GiveUpRequests() {
  quota_gate_.RefuseAll();
  std::vector<std::uint64_t> running;
  for (const auto& [id, request] : requests_) running.push_back(id);
  for (const std::uint64_t id : running) {
    const auto found = requests_.find(id);
    if (found == requests_.end()) continue;
    std::vector<forward::RunAction> actions;
    found->second.run->GiveUp("the host stops", actions);
    Execute(id, actions);
  }
}

std::string Gateway::Metrics() const {
  std::string text;
  const auto add = [&text](std::string_view name, std::uint64_t value) {
    text.append("berylreach_").append(name).append(" ");
    text.append(std::to_string(value)).append("\n");
  };
  text += build_info::MetricLine(build_info::ThisBuild());
  add("requests_total", counters_.requests);
  add("answered_total", counters_.answered);
  add("partial_total", counters_.partial);
  add("late_total", counters_.late);
  add("refused_total", counters_.refused);
  add("blocked_total", counters_.blocked);
  add("suspect_requests", quarantine_.size());
  add("failed_total", counters_.failed);
  add("abandoned_total", counters_.abandoned);
  add("groups_sent_total", counters_.groups_sent);
  add("group_failures_total", counters_.group_failures);
  add("groups_run_total", counters_.groups_run);
  add("leaf_calls_total", counters_.leaf_calls);
  add("leaf_answers_total", counters_.leaf_answers);
  add("leaf_sheds_total", counters_.leaf_sheds);
  add("leaf_failures_total", counters_.leaf_failures);
  add("leaves_leaving_total", counters_.leaves_leaving);
  add("leaf_pauses_total", counters_.leaf_pauses);
  add("leaf_rate_limits_total", counters_.leaf_rate_limits);
  add("leaf_calls_lost_total", counters_.leaf_calls_lost);
  add("leaf_connections_opened_total", leaf_connections_.counters().opened);
  add("leaf_connections_broken_total", leaf_connections_.counters().broken);
  add("requests_running", requests_.size());
  add("leaf_calls_running", calls_.size());
  add("configuration_version", configuration_version());
  add("shard_sets_pending", shard_sets_.pending());
  add("shard_sets_ready_total", counters_.shard_sets_ready);
  add("shard_sets_timed_total", counters_.shard_sets_timed);
  add("shard_sets_old_gone_total", counters_.shard_sets_old_gone);
  add("leaves", directory_.size());
  add("log_lines_dropped_total", host::DroppedLogLines());
  metrics_.AppendTo(text);
  tenant_metrics_.AppendTo(text);
  quota_gate_.AppendMetrics(text);
  version_reporting_.AppendTo(text);
  AppendSlowestLeaves(directory_, clock_.Now(), text);
  return text;
}

}  // namespace berylreach::gateway
