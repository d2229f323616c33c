// Requests from the caller's connection to its final answer.
#include "berylreach/gateway/gateway.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <unordered_set>
#include <utility>

#include "address.h"
#include "berylreach/host/log.h"
#include "health_server.h"
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
/// too late for the usual objectives, so hosts that run scattering requests
/// keep a connection to each leaf of their shards.
constexpr milliseconds kWarmInterval{500};
constexpr std::chrono::seconds kWarmAfterRun{10};

/// Patience of a caller that states none.
constexpr milliseconds kDefaultPatience{10000};

/// After a stop begins, new connections are accepted for as long as balancers
/// may need to notice.
constexpr milliseconds kAcceptAfterStop{3000};
/// End of the process before the platform kills it.
constexpr milliseconds kStopMargin{400};

/// Advised wait while the host has no configuration.
constexpr milliseconds kStartingRetryAfter{300};

/// Requests and leaf calls in flight that one core carries within the usual
/// objectives; above them a queue would only make all of them late.
constexpr double kRequestsPerCore = 256;
constexpr double kLeafCallsPerCore = 6144;

/// Field of a relayed request: the sender's configuration version and the
/// milliseconds until a partial answer is to be sent.
constexpr std::string_view kRelayField = "Berylreach-Relay";

/// A relayed request without an answer after this many objectives is given up.
/// Before, the other host may still collect the least coverage.
constexpr int kRelayObjectives = 2;
constexpr milliseconds kLostRelayRetryAfter{20};

limits::AdmissionOptions AdmissionFor(double cores) {
  return {
      .max_requests =
          static_cast<std::size_t>(std::max(16.0, kRequestsPerCore * cores)),
      .max_leaf_calls =
          static_cast<std::size_t>(std::max(512.0, kLeafCallsPerCore * cores))};
}

forward::CallOutcome RelayOutcome(const LeafConnections::Result& result) {
  const auto* response = std::get_if<HttpResponse>(&result);
  if (response == nullptr) return forward::CallOutcome::kUnreachable;
  return response->status == 503 ? forward::CallOutcome::kShed
                                 : forward::CallOutcome::kAnswered;
}

std::string Seconds(milliseconds span) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.3f",
                std::chrono::duration<double>(span).count());
  return text;
}

milliseconds ParsePatience(std::string_view text) {
  std::int64_t value = 0;
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (parsed.ec != std::errc() || value < 0) return kDefaultPatience;
  return milliseconds(std::min<std::int64_t>(value, 3'600'000));
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
      selector_(clock, directory_, cold_),
      budget_(clock, settings_.extra_calls),
      admission_(clock, AdmissionFor(settings_.cores)),
      relays_(clock, settings_.host, settings_.location, directory_, selector_),
      context_{clock, selector_, budget_, settings_.record_bytes,
               [this] { return next_id_++; }},
      acceptor_(io, ParseEndpoint(settings_.caller_address).value()),
      leaf_connections_(
          io, clock,
          [this](forward::CallId call, LeafConnections::Result result) {
            OnCallDone(call, std::move(result));
          }),
      timer_(io),
      sweep_timer_(io) {
  health_ = std::make_unique<HealthServer>(
      io, clock, settings_.health_address, [this] { return Ready(); },
      [this] { return Metrics(); });
  if (!settings_.peer_address.empty())
    peers_ = std::make_unique<PeerServer>(io, settings_.peer_address, *this);
  Accept();
  ScheduleSweep();
}

Gateway::~Gateway() {
  for (auto& [key, connection] : connections_) connection->Close();
}

void Gateway::SetConfiguration(forward::Configuration configuration) {
  if (configuration.version <= configuration_version()) return;
  host::LogStateChange("configuration_adopted",
                       std::to_string(configuration.version),
                       std::to_string(configuration.routes.size()) + " routes");
  table_ = std::make_shared<forward::RouteTable>(std::move(configuration));
}

void Gateway::SetHosts(std::vector<forward::HostEntry> hosts) {
  std::vector<std::string> names;
  for (const forward::HostEntry& host : hosts) names.push_back(host.name);
  cold_.SetHosts(settings_.host, std::move(names));
  const std::size_t count = hosts.size();
  budget_.SetHosts(count);
  host::LogStateChange("hosts", std::to_string(hosts.size()), "");
  relays_.SetHosts(std::move(hosts));
  selector_.SetHosts(count, relays_.CountCoordinators());
}

std::uint64_t Gateway::configuration_version() const {
  return table_ ? table_->configuration().version : 0;
}

bool Gateway::Ready() const {
  return !stopping_ && table_ != nullptr && directory_loaded_;
}

void Gateway::Accept() {
  acceptor_.async_accept([this](boost::system::error_code error,
                                boost::asio::ip::tcp::socket socket) {
    if (error == boost::asio::error::operation_aborted) return;
    if (!error) {
      auto connection = std::make_shared<ServerConnection>(
          std::move(socket), *this, clock_, Limits());
      connections_[connection.get()] = connection;
      connection->Start();
    }
    if (acceptor_.is_open()) Accept();
  });
}

forward::CallerLimits Gateway::Limits() const {
  return table_ ? table_->configuration().limits : forward::CallerLimits{};
}

void Gateway::OnRequest(ServerConnection& connection, HttpRequest request) {
  ++counters_.requests;
  Handle(connection, std::move(request), nullptr);
}

void Gateway::OnPeerRequest(ServerConnection& connection, HttpRequest request) {
  if (request.target.starts_with(kFeedPath)) {
    feed_.OnRequest(connection, request.target);
    return;
  }
  RelayedRequest relayed;
  const std::string_view field = request.fields.Find(kRelayField);
  const char* end = field.data() + field.size();
  std::int64_t left = 0;
  const auto version = std::from_chars(field.data(), end, relayed.version);
  const bool valid =
      version.ec == std::errc() && version.ptr != end &&
      std::from_chars(version.ptr + 1, end, left).ec == std::errc();
  relayed.partial_at = clock_.Now() + milliseconds(left);
  if (!valid || stopping_ || relayed.version > configuration_version()) {
    // The sender runs the request itself.
    RefuseAtOnce(connection, request, 503, "cannot run for another host",
                 milliseconds(0));
    return;
  }
  Handle(connection, std::move(request), &relayed);
}

void Gateway::Handle(ServerConnection& connection, HttpRequest request,
                     const RelayedRequest* relayed) {
  if (!table_ || !directory_loaded_) {
    RefuseAtOnce(connection, request, 503, "no configuration yet",
                 kStartingRetryAfter);
    return;
  }
  if (request.target.empty() || request.target[0] != '/' ||
      request.fields.Find(settings_.names.request_id).empty()) {
    RefuseAtOnce(connection, request, 400, "malformed request",
                 milliseconds(0));
    return;
  }
  const std::string_view target = request.target;
  const std::string_view path = target.substr(0, target.find_first_of("?#"));
  const forward::Route* route = table_->Find(request.fields.Find("host"), path);
  if (route == nullptr) {
    RefuseAtOnce(connection, request, 404, "no route", milliseconds(0));
    return;
  }
  if (stopping_ && clock_.Now() >= stop_began_ + kAcceptAfterStop) {
    RefuseAtOnce(connection, request, 503, "stopping", milliseconds(50));
    return;
  }
  StartRun(connection, std::move(request), *route, relayed);
}

const std::string& Gateway::PickService(const forward::Route& route) {
  static const std::string none;
  if (route.services.empty()) return none;
  if (route.services.size() == 1) return route.services[0].service;
  double total = 0;
  for (const auto& service : route.services) total += service.weight;
  // Multiples of the golden ratio are spread evenly over the unit interval, so
  // that the shares hold over short runs of requests.
  constexpr double golden_ratio = 0.6180339887498949;
  const auto count = static_cast<double>(split_counts_[route.name]++);
  const double product = count * golden_ratio;
  double point = (product - std::floor(product)) * total;
  for (const auto& service : route.services) {
    point -= service.weight;
    if (point < 0) return service.service;
  }
  return route.services.back().service;
}

void Gateway::StartRun(ServerConnection& connection, HttpRequest request,
                       const forward::Route& route,
                       const RelayedRequest* relayed) {
  const std::size_t calls = route.scatters() ? route.shards.size() : 1;
  const limits::AdmissionDecision decision =
      admission_.Admit(route.priority, calls);
  if (!decision.admitted) {
    RefuseAtOnce(connection, request, 503, "host is full",
                 decision.retry_after);
    return;
  }
  forward::CallerRequest caller;
  caller.id = std::string(request.fields.Find(settings_.names.request_id));
  caller.fields = request.fields.ForwardedLines(
      {settings_.names.patience, settings_.names.expected_leaf, kRelayField});
  caller.method = std::move(request.method);
  caller.target = std::move(request.target);
  caller.body = std::move(request.body);
  caller.received = clock_.Now();
  caller.patience =
      ParsePatience(request.fields.Find(settings_.names.patience));

  const std::uint64_t id = next_id_++;
  RunningRequest& running = requests_[id];
  running.connection = connection.weak_from_this();
  running.keep_alive = request.keep_alive;
  running.head = caller.method == "HEAD";
  running.run = std::make_unique<forward::RequestRun>(
      context_, table_, route, PickService(route), std::move(caller));
  request_of_[&connection] = id;
  if (relayed != nullptr) {
    running.run->SetPartialAt(relayed->partial_at);
  } else if (TryRelay(id, running)) {
    return;
  }
  RunHere(id);
}

void Gateway::RunHere(std::uint64_t id) {
  const forward::Route& route = requests_.at(id).run->route();
  if (route.scatters()) last_run_[route.name] = clock_.Now();
  std::vector<forward::RunAction> actions;
  requests_.at(id).run->Start(actions);
  Execute(id, actions);
}

bool Gateway::TryRelay(std::uint64_t id, RunningRequest& request) {
  forward::RequestRun& run = *request.run;
  const auto host = relays_.Choose(*table_, run.route(), run.seed());
  if (host == nullptr) return false;
  const base::TimePoint now = clock_.Now();
  const milliseconds transit = forward::RelayPlanner::Transit(*host);
  const auto partial = std::chrono::duration_cast<milliseconds>(
      run.partial_at() - now - 2 * transit);
  if (partial <= milliseconds(0)) return false;
  const forward::CallId call = next_id_++;
  request.relay = call;
  request.relayed_to = host->entry().id;
  ++counters_.relayed;
  host->OnCallSent(now);
  calls_[call] = {id, host, run.request().id, now};
  LeafCall message;
  message.id = call;
  message.head = request.head;
  message.connections = host->entry().slots;
  message.deadline = run.deadline();
  message.bytes = CallBytes(run.request(), run.deadline(),
                            std::string(kRelayField) + ": " +
                                std::to_string(configuration_version()) + " " +
                                std::to_string(partial.count()) + "\r\n");
  leaf_connections_.Start(*host, std::move(message));
  wakeups_.Set(id, std::min(run.deadline(),
                            run.request().received +
                                kRelayObjectives * run.route().objective));
  ArmTimer();
  return true;
}

void Gateway::OnRelayDone(std::uint64_t id, LeafConnections::Result result) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) return;
  auto* response = std::get_if<HttpResponse>(&result);
  // A host that cannot run the request says 503, and then nothing has run.
  if (response != nullptr && response->status != 503) {
    forward::CallerReply reply;
    reply.reply = ToLeafReply(std::move(*response));
    Finish(id, std::move(reply));
    return;
  }
  ++counters_.relay_failures;
  found->second.relay = 0;
  host::LogStateChange("relay_failed", found->second.relayed_to,
                       found->second.run->request().id);
  found->second.relayed_to.clear();
  const bool sent =
      response == nullptr &&
      std::get<forward::CallFailure>(result) != forward::CallFailure::kNotSent;
  if (sent) {
    RefuseLostRelay(id, "lost the host that ran the request");
  } else {
    RunHere(id);
  }
}

void Gateway::RefuseLostRelay(std::uint64_t id, std::string cause) {
  // The other host may have used all attempts that the route allows, so a
  // second run is the caller's to ask for.
  forward::CallerReply reply;
  reply.refusal = forward::Refusal::kMayHaveRun;
  reply.cause = std::move(cause);
  reply.retry_after = kLostRelayRetryAfter;
  Finish(id, std::move(reply));
}

std::string Gateway::CallBytes(const forward::CallerRequest& caller,
                               base::TimePoint deadline,
                               std::string_view extra_fields) const {
  const auto left = std::chrono::duration_cast<milliseconds>(
      std::max(base::Duration::zero(), deadline - clock_.Now()));
  std::string bytes;
  bytes.reserve(caller.fields.size() + caller.target.size() +
                caller.body.size() + 160);
  bytes.append(caller.method).append(" ").append(caller.target);
  bytes.append(" HTTP/1.1\r\n").append(caller.fields);
  bytes.append(settings_.names.patience).append(": ");
  bytes.append(std::to_string(left.count())).append("\r\n");
  bytes.append(extra_fields);
  if (!caller.body.empty() || caller.method == "POST" ||
      caller.method == "PUT") {
    bytes.append("Content-Length: ");
    bytes.append(std::to_string(caller.body.size())).append("\r\n");
  }
  bytes.append("\r\n").append(caller.body);
  return bytes;
}

void Gateway::Execute(std::uint64_t id,
                      std::vector<forward::RunAction>& actions) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) return;
  for (forward::RunAction& action : actions) {
    if (auto* call = std::get_if<forward::StartLeafCall>(&action)) {
      SendCall(found->second, id, *call);
    } else {
      Finish(id, std::move(std::get<forward::FinishRequest>(action).reply));
      return;
    }
  }
  wakeups_.Set(id, found->second.run->NextWakeup());
  ArmTimer();
}

void Gateway::SendCall(RunningRequest& request, std::uint64_t id,
                       forward::StartLeafCall& action) {
  ++counters_.leaf_calls;
  const forward::CallerRequest& caller = request.run->request();
  LeafCall call;
  call.id = action.call;
  call.head = request.head;
  call.needs_fresh_connection = !request.run->route().idempotent;
  call.connections = action.connections;
  call.deadline = action.deadline;
  call.bytes = CallBytes(
      caller, action.deadline,
      settings_.names.expected_leaf + ": " + action.leaf->entry().id + "\r\n");
  calls_[action.call] = {id, action.leaf, caller.id, action.sent};
  leaf_connections_.Start(*action.leaf, std::move(call));
}

forward::LeafReply Gateway::ToLeafReply(HttpResponse response) const {
  const WireNames& names = settings_.names;
  forward::LeafReply reply;
  reply.status = response.status;
  reply.reason = std::move(response.reason);
  reply.signature = std::string(response.fields.Find(names.signature));
  reply.not_run = response.fields.Has(names.not_run);
  reply.other_leaf = response.status == 421;
  reply.fields = response.fields.ForwardedLines({});
  reply.body = std::move(response.body);
  return reply;
}

void Gateway::OnCallDone(forward::CallId call, LeafConnections::Result result) {
  const auto found = calls_.find(call);
  if (found == calls_.end()) return;
  const RunningCall running = std::move(found->second);
  calls_.erase(found);
  const base::TimePoint now = clock_.Now();
  forward::LeafRecord& leaf = *running.leaf;
  const bool backed_off = leaf.IsBackedOff(now);
  std::vector<forward::RunAction> actions;
  const auto request = requests_.find(running.request);
  if (request != requests_.end() && request->second.relay == call) {
    leaf.OnCallEnded(running.sent, now, RelayOutcome(result));
    OnRelayDone(running.request, std::move(result));
    return;
  }
  auto* response = std::get_if<HttpResponse>(&result);
  if (response != nullptr) {
    const std::string_view echoed =
        response->fields.Find(settings_.names.request_id);
    // A response that belongs to an earlier call answers nothing.
    if (!echoed.empty() && echoed != running.request_id) {
      result = forward::CallFailure::kMayHaveRun;
      response = nullptr;
    }
  }
  if (response != nullptr) {
    forward::LeafReply reply = ToLeafReply(std::move(*response));
    forward::CallOutcome outcome = forward::CallOutcome::kFailed;
    if (reply.other_leaf) {
      outcome = forward::CallOutcome::kReplaced;
      leaf.MarkGone();
      host::LogStateChange("leaf_replaced",
                           leaf.entry().service + " " + leaf.entry().id,
                           running.request_id);
    } else if (reply.not_run) {
      outcome = forward::CallOutcome::kShed;
      ++counters_.leaf_sheds;
    } else if (reply.success() && !reply.signature.empty()) {
      outcome = forward::CallOutcome::kAnswered;
      ++counters_.leaf_answers;
    } else {
      ++counters_.leaf_failures;
    }
    leaf.OnCallEnded(running.sent, now, outcome);
    LogBackOff(leaf, backed_off, running.request_id);
    if (request == requests_.end()) return;
    request->second.run->OnReply(call, std::move(reply), actions);
  } else {
    const auto failure = std::get<forward::CallFailure>(result);
    ++counters_.leaf_failures;
    leaf.OnCallEnded(running.sent, now,
                     failure == forward::CallFailure::kMayHaveRun
                         ? forward::CallOutcome::kFailed
                         : forward::CallOutcome::kUnreachable);
    LogBackOff(leaf, backed_off, running.request_id);
    if (request == requests_.end()) return;
    request->second.run->OnFailure(call, failure, actions);
  }
  Execute(running.request, actions);
}

void Gateway::LogBackOff(const forward::LeafRecord& leaf, bool before,
                         const std::string& request) const {
  if (before || !leaf.IsBackedOff(clock_.Now())) return;
  host::LogStateChange("leaf_backed_off",
                       leaf.entry().service + " " + leaf.entry().id, request);
}

void Gateway::Finish(std::uint64_t id, forward::CallerReply reply) {
  const auto found = requests_.find(id);
  const RunningRequest request = std::move(found->second);
  requests_.erase(found);
  wakeups_.Set(id, std::nullopt);
  admission_.OnRequestDone(request.run->parts());
  const auto connection = request.connection.lock();
  if (connection) request_of_.erase(connection.get());

  const forward::RequestRun& run = *request.run;
  const auto took = clock_.Now() - run.request().received;
  const bool late = took > run.route().objective;
  if (late) ++counters_.late;
  std::string fields;
  int status = reply.reply.status;
  std::string_view reason = reply.reply.reason;
  if (reply.refusal != forward::Refusal::kNone) {
    status = reply.refusal == forward::Refusal::kNotRun       ? 503
             : reply.refusal == forward::Refusal::kMayHaveRun ? 502
                                                              : 504;
    reason = ReasonOf(status);
    ++(status == 503 ? counters_.refused : counters_.failed);
    if (reply.retry_after.count() > 0)
      fields = "Retry-After: " + Seconds(reply.retry_after) + "\r\n";
    reply.reply.body = reply.cause;
  } else {
    ++counters_.answered;
    fields = std::move(reply.reply.fields);
  }
  if (!reply.signatures.empty()) {
    if (reply.missing > 0) ++counters_.partial;
    fields.append(settings_.names.part_signatures).append(": ");
    for (std::size_t i = 0; i < reply.signatures.size(); ++i)
      fields.append(i == 0 ? "" : ", ").append(reply.signatures[i]);
    fields.append("\r\n").append(settings_.names.missing_parts).append(": ");
    fields.append(std::to_string(reply.missing)).append("\r\n");
  }
  if (status >= 400 || late || reply.missing > 0) {
    host::LogRequest({.id = run.request().id,
                      .route = run.route().name,
                      .status = status,
                      .cause = reply.cause,
                      .took = took,
                      .answered = run.answered(),
                      .parts = run.parts(),
                      .calls = run.calls_sent(),
                      .unanswered = run.DescribeUnanswered(),
                      .relayed_to = request.relayed_to,
                      .version = configuration_version()});
  }
  if (!connection || connection->closed()) return;
  const bool keep_alive = request.keep_alive && !stopping_;
  std::string bytes =
      ResponseBytes(status, reason, fields, reply.reply.body, keep_alive);
  if (request.head) bytes.resize(bytes.size() - reply.reply.body.size());
  connection->Respond(std::move(bytes), keep_alive);
}

void Gateway::RefuseAtOnce(ServerConnection& connection,
                           const HttpRequest& request, int status,
                           std::string_view cause, milliseconds retry_after) {
  ++counters_.refused;
  host::LogRequest(
      {.id = std::string(request.fields.Find(settings_.names.request_id)),
       .route = request.target,
       .status = status,
       .cause = std::string(cause),
       .version = configuration_version()});
  std::string fields;
  if (retry_after.count() > 0)
    fields = "Retry-After: " + Seconds(retry_after) + "\r\n";
  const bool keep_alive = request.keep_alive && !stopping_;
  connection.Respond(
      ResponseBytes(status, ReasonOf(status), fields,
                    request.method == "HEAD" ? std::string_view() : cause,
                    keep_alive),
      keep_alive);
}

void Gateway::OnClosed(ServerConnection& connection) {
  const auto found = request_of_.find(&connection);
  if (found != request_of_.end()) {
    const std::uint64_t id = found->second;
    request_of_.erase(found);
    ++counters_.abandoned;
    const auto request = requests_.find(id);
    if (request != requests_.end()) {
      admission_.OnRequestDone(request->second.run->parts());
      requests_.erase(request);
    }
    wakeups_.Set(id, std::nullopt);
    // The caller wants no answer any more, so its leaves need not work on.
    std::vector<forward::CallId> cancelled;
    for (const auto& [call, running] : calls_)
      if (running.request == id) cancelled.push_back(call);
    for (const forward::CallId call : cancelled) CancelCall(call);
  }
  connections_.erase(&connection);
}

void Gateway::ArmTimer() {
  const auto earliest = wakeups_.Earliest();
  if (!earliest) return;
  const base::TimePoint now = clock_.Now();
  const bool armed = timer_at_ > now;
  if (armed && timer_at_ <= *earliest + kTimerSlack) return;
  timer_at_ = std::max(*earliest, now);
  timer_.expires_at(timer_at_);
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
    if (found->second.relay != 0) {
      GiveUpRelay(*id, found->second);
      continue;
    }
    std::vector<forward::RunAction> actions;
    found->second.run->Tick(actions);
    Execute(*id, actions);
  }
  ArmTimer();
}

void Gateway::GiveUpRelay(std::uint64_t id, RunningRequest& request) {
  const forward::CallId call = std::exchange(request.relay, 0);
  ++counters_.relay_failures;
  CancelCall(call);
  RefuseLostRelay(id, "the host that runs the request is silent");
}

void Gateway::CancelCall(forward::CallId call) {
  const auto found = calls_.find(call);
  if (found == calls_.end()) return;
  const RunningCall running = std::move(found->second);
  calls_.erase(found);
  leaf_connections_.Cancel(call);
  running.leaf->OnCallEnded(running.sent, clock_.Now(),
                            forward::CallOutcome::kCancelled);
}

void Gateway::ScheduleSweep() {
  sweep_timer_.expires_after(kSweepInterval);
  sweep_timer_.async_wait([this](boost::system::error_code error) {
    if (error) return;
    Sweep();
    ScheduleSweep();
  });
}

void Gateway::Sweep() {
  const base::TimePoint now = clock_.Now();
  directory_.Tick();
  cold_.Tick();
  leaf_connections_.CheckTimeouts();
  leaf_connections_.CloseIdle([this](const std::string& leaf) {
    if (relays_.Knows(leaf)) return true;
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
  if (!table_ || stopping_) return;
  std::unordered_set<std::string> shards;
  for (const forward::Route& route : table_->configuration().routes) {
    const auto run = last_run_.find(route.name);
    if (run == last_run_.end() || now - run->second > kWarmAfterRun) continue;
    shards.insert(route.shards.begin(), route.shards.end());
  }
  for (const std::string& shard : shards) {
    for (const auto& leaf : directory_.Usable(shard))
      if (!leaf->IsBackedOff(now)) leaf_connections_.Warm(*leaf);
  }
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
  if (acceptor_.is_open()) {
    boost::system::error_code ignored;
    acceptor_.close(ignored);
  }
  std::vector<std::shared_ptr<ServerConnection>> all;
  for (const auto& [key, connection] : connections_) all.push_back(connection);
  for (const auto& connection : all) connection->CloseIfIdle();
  const bool idle = requests_.empty() && connections_.empty();
  if (!idle && since < settings_.stop_grace - kStopMargin) return;
  if (on_stopped_) std::exchange(on_stopped_, nullptr)();
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
  add("failed_total", counters_.failed);
  add("abandoned_total", counters_.abandoned);
  add("relayed_total", counters_.relayed);
  add("relay_failures_total", counters_.relay_failures);
  add("leaf_calls_total", counters_.leaf_calls);
  add("leaf_answers_total", counters_.leaf_answers);
  add("leaf_sheds_total", counters_.leaf_sheds);
  add("leaf_failures_total", counters_.leaf_failures);
  add("leaf_connections_opened_total", leaf_connections_.counters().opened);
  add("leaf_connections_broken_total", leaf_connections_.counters().broken);
  add("requests_running", requests_.size());
  add("leaf_calls_running", calls_.size());
  add("configuration_version", configuration_version());
  add("leaves", directory_.size());
  add("log_lines_dropped_total", host::DroppedLogLines());
  return text;
}

}  // namespace berylreach::gateway
