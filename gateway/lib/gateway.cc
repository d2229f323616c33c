// Start, stop and periodic work of a host's request path.
#include "berylreach/gateway/gateway.h"

#include <algorithm>
#include <utility>

#include "berylreach/host/log.h"
#include "health_server.h"
#include "listener.h"
#include "peer_server.h"
#include "response_bytes.h"

namespace berylreach::gateway {
namespace {

using std::chrono::milliseconds;

/// Interval of the checks of connections, whose time limits are coarse.
constexpr milliseconds kSweepInterval{100};

/// How much earlier than its set time a timer may stay armed: below this a
/// system call costs more than the precision is worth.
constexpr milliseconds kTimerSlack{1};

/// A hedge to a leaf in another region that must first open a connection comes
/// too late for the usual objectives, so hosts keep a connection to each leaf
/// of the shards that they run.
constexpr milliseconds kWarmInterval{500};
constexpr std::chrono::seconds kWarmAfterUse{10};

/// After a stop begins, new connections are accepted for as long as balancers
/// may need to notice.
constexpr milliseconds kAcceptAfterStop{3000};
/// End of the process before the platform kills it, and of its last requests
/// before that, whose answers must still be written.
constexpr milliseconds kStopMargin{400};
constexpr milliseconds kLastAnswersMargin{800};

/// Time without a sweep after which the process has been paused, and what it
/// knows of the deployment may be old.
constexpr milliseconds kPause{1500};
/// Longest time for which a host that was paused waits for the present state.
/// Without an answer it serves with what it knows, as any host does that cannot
/// reach the store.
constexpr milliseconds kConfirmLimit{1000};

/// Advised wait while the host has no configuration.
constexpr milliseconds kStartingRetryAfter{300};

/// Requests and leaf calls in flight that one core carries within the usual
/// objectives; above them a queue would only make all of them late.
constexpr double kRequestsPerCore = 256;
constexpr double kLeafCallsPerCore = 6144;

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
      cold_(clock, settings_.cold_calls),
      shares_(clock),
      selector_(clock, directory_, cold_, shares_),
      budget_(clock, settings_.extra_calls, shares_),
      admission_(clock, AdmissionFor(settings_.cores)),
      planner_(clock, settings_.host, settings_.location, directory_, selector_,
               shares_),
      quarantine_(clock),
      news_(clock),
      tables_(clock),
      context_{clock,
               selector_,
               budget_,
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
          }),
      timer_(io),
      sweep_timer_(io),
      alive_at_(clock.Now()) {
  planner_.SetReachable([this](const forward::LeafRecord& host) {
    return leaf_connections_.IsReachable(host.entry().id);
  });
  health_ = std::make_unique<HealthServer>(
      io, clock, settings_.health_address, [this] { return Ready(); },
      [this] { return Metrics(); });
  if (!settings_.peer_address.empty())
    peers_ = std::make_unique<PeerServer>(io, settings_.peer_address, *this);
  callers_ = std::make_unique<Listener>(
      io, settings_.caller_address,
      [this](boost::asio::ip::tcp::socket socket) {
        AddConnection(std::make_shared<ServerConnection>(
            std::move(socket), *this, clock_, Limits()));
      });
  ScheduleSweep();
}

Gateway::~Gateway() {
  for (auto& [key, connection] : connections_) connection->Close();
}

void Gateway::SetConfiguration(forward::Configuration configuration) {
  if (!tables_.Adopt(std::move(configuration))) return;
  const forward::Configuration& adopted = tables_.present()->configuration();
  host::LogStateChange("configuration_adopted", std::to_string(adopted.version),
                       std::to_string(adopted.routes.size()) + " routes");
}

void Gateway::SetHosts(std::vector<forward::HostEntry> hosts) {
  std::vector<std::string> names;
  for (const forward::HostEntry& host : hosts) names.push_back(host.name);
  cold_.SetHosts(settings_.host, std::move(names));
  host::LogStateChange("hosts", std::to_string(hosts.size()), "");
  planner_.SetHosts(std::move(hosts));
}

std::uint64_t Gateway::configuration_version() const {
  const auto& table = tables_.present();
  return table ? table->configuration().version : 0;
}

bool Gateway::Ready() const {
  return !stopping_ && tables_.present() != nullptr && directory_loaded_ &&
         !ViewMayBeOld();
}

bool Gateway::ViewMayBeOld() const { return clock_.Now() < unconfirmed_until_; }

void Gateway::NoticePause() {
  const base::TimePoint now = clock_.Now();
  const base::TimePoint before = std::exchange(alive_at_, now);
  if (now - before < kPause) return;
  const auto paused = std::chrono::duration_cast<milliseconds>(now - before);
  host::LogStateChange("paused", settings_.host,
                       std::to_string(paused.count()) + " ms");
  unconfirmed_until_ = now + kConfirmLimit;
  if (on_paused_) on_paused_();
}

void Gateway::AddConnection(
    const std::shared_ptr<ServerConnection>& connection) {
  connections_[connection.get()] = connection;
  connection->Start();
}

forward::CallerLimits Gateway::Limits() const {
  const auto& table = tables_.present();
  return table ? table->configuration().limits : forward::CallerLimits{};
}

void Gateway::OnRequest(ServerConnection& connection, HttpRequest request) {
  NoticePause();
  ++counters_.requests;
  Handle(connection, std::move(request));
}

void Gateway::Handle(ServerConnection& connection, HttpRequest request) {
  const forward::RouteTableHistory::Table table = tables_.present();
  if (!table || !directory_loaded_) {
    RefuseAtOnce(connection, request, 503, "no configuration yet",
                 kStartingRetryAfter);
    return;
  }
  if (ViewMayBeOld()) {
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
  if (stopping_ && clock_.Now() >= stop_began_ + kAcceptAfterStop) {
    RefuseAtOnce(connection, request, 503, "stopping", milliseconds(50));
    return;
  }
  StartRun(connection, std::move(request), table, *route, nullptr);
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

void Gateway::ScheduleSweep() {
  sweep_timer_.expires_after(kSweepInterval);
  sweep_timer_.async_wait([this](boost::system::error_code error) {
    if (error) return;
    ScheduleSweep();
    Sweep();
  });
}

void Gateway::Sweep() {
  NoticePause();
  const base::TimePoint now = clock_.Now();
  // A timer stands still while the machine is suspended.
  OnTimer();
  directory_.Tick();
  cold_.Tick();
  quarantine_.Tick();
  NotifyHosts();
  leaf_connections_.CheckTimeouts();
  leaf_connections_.CloseIdle([this](const std::string& leaf) {
    if (planner_.IsKnownHost(leaf)) return true;
    const auto record = directory_.Find(leaf);
    return record != nullptr && !record->gone();
  });
  std::vector<std::shared_ptr<ServerConnection>> all;
  all.reserve(connections_.size());
  for (const auto& [key, connection] : connections_) all.push_back(connection);
  for (const auto& connection : all) connection->CheckTimeouts(now);
  health_->CheckTimeouts(now);
  feed_.CheckTimeouts();
  if (now - warmed_at_ >= kWarmInterval) WarmConnections();
  if (stopping_) ContinueStop();
}

void Gateway::WarmConnections() {
  const base::TimePoint now = clock_.Now();
  warmed_at_ = now;
  if (!tables_.present() || stopping_) return;
  std::erase_if(shard_used_, [now](const auto& entry) {
    return now - entry.second > kWarmAfterUse;
  });
  for (const auto& [shard, used] : shard_used_) {
    directory_.ForEachUsable(shard, [this, now](const auto& leaf) {
      if (!leaf->IsBackedOff(now) && !leaf->IsPaused(now))
        leaf_connections_.Warm(*leaf);
    });
  }
  planner_.PlanAhead(*tables_.present());
  planner_.ForEachLinkedHost([this](const forward::LeafRecord& host) {
    leaf_connections_.Link(host);
  });
}

void Gateway::Stop(std::function<void()> on_stopped) {
  if (stopping_) return;
  stopping_ = true;
  stop_began_ = clock_.Now();
  on_stopped_ = std::move(on_stopped);
  feed_.SetFresh(false);
  host::LogStateChange("stopping", settings_.host,
                       std::to_string(requests_.size()) + " requests running");
}

void Gateway::ContinueStop() {
  const base::Duration since = clock_.Now() - stop_began_;
  if (since < kAcceptAfterStop) return;
  if (callers_->is_open()) callers_->Close();
  std::vector<std::shared_ptr<ServerConnection>> all;
  for (const auto& [key, connection] : connections_) all.push_back(connection);
  for (const auto& connection : all) connection->CloseIfIdle();
  if (since >= settings_.stop_grace - kLastAnswersMargin) GiveUpRequests();
  const bool idle = requests_.empty() && connections_.empty();
  if (!idle && since < settings_.stop_grace - kStopMargin) return;
  if (on_stopped_) std::exchange(on_stopped_, nullptr)();
}

void Gateway::GiveUpRequests() {
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
  add("leaf_calls_lost_total", counters_.leaf_calls_lost);
  add("leaf_connections_opened_total", leaf_connections_.counters().opened);
  add("leaf_connections_broken_total", leaf_connections_.counters().broken);
  add("requests_running", requests_.size());
  add("leaf_calls_running", calls_.size());
  add("configuration_version", configuration_version());
  add("leaves", directory_.size());
  add("log_lines_dropped_total", host::DroppedLogLines());
  metrics_.AppendTo(text);
  return text;
}

}  // namespace berylreach::gateway
