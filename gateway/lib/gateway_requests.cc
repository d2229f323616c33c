// Runs requests: starts them for callers and other hosts, sends their calls to
// leaves and handles the results.
#include <charconv>
#include <cmath>
#include <utility>

#include "berylreach/base/hash.h"
#include "berylreach/gateway/gateway.h"
#include "berylreach/gateway/group_codec.h"
#include "berylreach/gateway/request_fingerprint.h"
#include "berylreach/host/log.h"
#include "group_field.h"
#include "tenant_fields.h"

namespace berylreach::gateway {
namespace {

using std::chrono::milliseconds;

/// Time that a caller is assumed to wait if it states none.
constexpr milliseconds kDefaultCallerTimeout{10000};

milliseconds ParseCallerTimeout(std::string_view text) {
  std::int64_t value = 0;
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (parsed.ec != std::errc() || value < 0) return kDefaultCallerTimeout;
  return milliseconds(std::min<std::int64_t>(value, 3'600'000));
}

/// Returns what a call without a response says about its leaf.
forward::CallOutcome OutcomeOf(forward::CallFailure failure) {
  switch (failure) {
    case forward::CallFailure::kMayHaveRun:
      return forward::CallOutcome::kLost;
    case forward::CallFailure::kWithdrawn:
      return forward::CallOutcome::kCancelled;
    case forward::CallFailure::kNotSent:
    case forward::CallFailure::kTimedOut:
      break;
  }
  return forward::CallOutcome::kUnreachable;
}

}  // namespace

const forward::Route* Gateway::FindRoute(const forward::RouteTable& table,
                                         const HttpRequest& request) {
  const std::string_view target = request.target;
  return table.Find(request.fields.Find("host"),
                    target.substr(0, target.find_first_of("?#")));
}

const std::string& Gateway::ChooseService(const forward::Route& route) {
  static const std::string none;
  if (route.services.empty()) return none;
  if (route.services.size() == 1) return route.services[0].service;
  double total = 0;
  for (const auto& service : route.services) total += service.weight;
  // The fractional parts of the multiples of the golden ratio are spread evenly
  // over the unit interval, so the weights hold even over short runs of
  // requests.
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
                       const forward::RouteTableHistory::Table& table,
                       const forward::Route& route,
                       forward::TenantAccess access,
                       const forward::ShardSubset* subset) {
  const std::string_view caller_id =
      request.fields.Find(settings_.names.request_id);
  const std::uint64_t fingerprint = FingerprintOf(request, settings_.names);
  const forward::RunPermit permit =
      PermitFor(route, fingerprint, subset != nullptr);
  if (permit != forward::RunPermit::kUnrestricted &&
      permit != forward::RunPermit::kProbeFirst) {
    if (subset == nullptr)
      tenant_metrics_.OnRefused(request.tenant, TenantRefusal::kBlocked);
    RefuseSuspect(connection, request, permit, fingerprint);
    return;
  }
  const bool probe_first = permit == forward::RunPermit::kProbeFirst;
  std::vector<forward::ShardGroup> groups;
  std::size_t calls = route.scatters() ? route.shards.size() : 1;
  if (subset != nullptr) {
    calls = subset->shards.size();
  } else if (!probe_first && access.regions.empty()) {
    groups = planner_.Divide(*table, route, base::Hash64(caller_id));
    for (const forward::ShardGroup& group : groups)
      calls -= group.shards.size() - 1;
  }
  // Requests of public routes share the capacity like those of one tenant.
  std::optional<std::string> tenant;
  if (table->has_tenants()) tenant = request.tenant;
  const limits::AdmissionDecision decision =
      admission_.Admit(access.priority, calls, tenant);
  if (!decision.admitted) {
    if (probe_first) quarantine_.OnNotRun(fingerprint);
    if (subset == nullptr)
      tenant_metrics_.OnRefused(request.tenant, TenantRefusal::kFull);
    RefuseAtOnce(connection, request, 503, "host is full",
                 decision.retry_after);
    return;
  }
  const std::uint64_t id = next_id_++;
  RunningRequest& running = requests_[id];
  running.connection = connection.weak_from_this();
  running.keep_alive = request.keep_alive;
  running.is_head = request.method == "HEAD";
  running.admitted_calls = calls;
  running.admitted_tenant = std::move(tenant);
  running.for_other_host = subset != nullptr;
  running.probed_first = probe_first;
  if (!groups.empty()) running.shard_digest = ShardDigest(route);
  running.run = std::make_unique<forward::RequestRun>(
      context_, table, route, ChooseService(route),
      ToCallerRequest(std::move(request), fingerprint));
  running.run->RestrictToRegions(std::move(access.regions));
  request_by_connection_[&connection] = id;
  if (subset != nullptr) {
    running.run->RestrictToSubset(*subset);
  } else {
    running.run->Delegate(groups);
  }
  if (probe_first) running.run->ProbeFirst();
  std::vector<forward::RunAction> actions;
  running.run->Start(actions);
  Execute(id, actions);
}

forward::RunPermit Gateway::PermitFor(const forward::Route& route,
                                      std::uint64_t fingerprint,
                                      bool for_other_host) {
  if (!for_other_host)
    return quarantine_.Admit(fingerprint, clock_.Now() + route.objective);
  return quarantine_.MayRunForOthers(fingerprint)
             ? forward::RunPermit::kUnrestricted
             : forward::RunPermit::kBusy;
}

forward::CallerRequest Gateway::ToCallerRequest(
    HttpRequest request, std::uint64_t fingerprint) const {
  const WireNames& names = settings_.names;
  forward::CallerRequest caller;
  caller.fingerprint = fingerprint;
  caller.id = std::string(request.fields.Find(names.request_id));
  caller.fields = request.fields.ForwardedLines(
      {names.caller_timeout, names.expected_leaf, kGroupField});
  caller.fields += TenantLine(request, names);
  caller.tenant = std::move(request.tenant);
  caller.method = std::move(request.method);
  caller.target = std::move(request.target);
  caller.body = std::move(request.body);
  caller.received = clock_.Now();
  caller.caller_timeout =
      ParseCallerTimeout(request.fields.Find(names.caller_timeout));
  return caller;
}

std::string Gateway::FormatCall(const forward::CallerRequest& caller,
                                base::TimePoint deadline,
                                std::string_view extra_fields) const {
  const auto time_left = std::chrono::duration_cast<milliseconds>(
      std::max(base::Duration::zero(), deadline - clock_.Now()));
  std::string bytes;
  bytes.reserve(caller.fields.size() + caller.target.size() +
                caller.body.size() + 160);
  bytes.append(caller.method).append(" ").append(caller.target);
  bytes.append(" HTTP/1.1\r\n").append(caller.fields);
  bytes.append(settings_.names.caller_timeout).append(": ");
  bytes.append(std::to_string(time_left.count())).append("\r\n");
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
  RunningRequest& request = found->second;
  for (forward::RunAction& action : actions) {
    if (auto* call = std::get_if<forward::StartLeafCall>(&action)) {
      SendCall(request, id, *call);
    } else if (auto* group = std::get_if<forward::StartGroupCall>(&action)) {
      SendGroupCall(request, id, *group);
    } else if (const auto* progress =
                   std::get_if<forward::ReportProgress>(&action)) {
      SendGroupProgress(request, progress->reply);
    } else if (const auto* lost =
                   std::get_if<forward::AbandonGroupCall>(&action)) {
      ++counters_.group_failures;
      AbandonGroup(lost->call);
    } else {
      Finish(id, std::move(std::get<forward::FinishRequest>(action).reply));
      return;
    }
  }
  wakeups_.Set(id, request.run->NextWakeup());
  ArmTimer();
}

void Gateway::SendCall(RunningRequest& request, std::uint64_t id,
                       forward::StartLeafCall& action) {
  ++counters_.leaf_calls;
  const forward::CallerRequest& caller = request.run->request();
  OutgoingCall call;
  call.id = action.call;
  call.request_id = caller.id;
  call.is_head = request.is_head;
  call.avoid_stale_connection = !request.run->route().idempotent;
  // Otherwise a leaf that had crashed before the call would count as crashed by
  // the request.
  call.needs_new_connection = action.sole_call;
  call.max_connections = action.max_connections;
  call.deadline = action.deadline;
  call.bytes = FormatCall(
      caller, action.deadline,
      settings_.names.expected_leaf + ": " + action.leaf->entry().id + "\r\n");
  calls_[action.call] = {
      .request = id,
      .callee = action.leaf,
      .request_id = caller.id,
      .sole_call = action.sole_call,
      .sent = action.sent,
      .route = request.run->route().name,
      .was_cold = action.leaf->IsCold(action.sent),
      .is_suspect = action.sole_call || request.probed_first ||
                    !quarantine_.MayRunForOthers(caller.fingerprint)};
  if (request.run->route().scatters())
    last_shard_call_[action.leaf->entry().service] = action.sent;
  leaf_connections_.Start(*action.leaf, std::move(call));
}

forward::LeafReply Gateway::ToLeafReply(HttpResponse response) const {
  const WireNames& names = settings_.names;
  forward::LeafReply reply;
  reply.status = response.status;
  reply.reason = std::move(response.reason);
  reply.signature = std::string(response.fields.Find(names.signature));
  reply.not_run = response.fields.Has(names.not_run);
  reply.wrong_incarnation = response.status == 421;
  reply.leaving =
      !reply.wrong_incarnation && response.fields.Has(names.leaving);
  if (response.status == 503)
    reply.requested_pause = ParseRetryAfter(response.fields).wait;
  reply.rate_limit = ParseRateLimit(response.fields, names.rate_limit);
  reply.fields = response.fields.ForwardedLines({});
  reply.body = std::move(response.body);
  return reply;
}

void Gateway::OnCallDone(forward::CallId call, LeafConnections::Result result) {
  if (const auto check = health_checks_.extract(call)) {
    OnHealthCheckDone(check.mapped(), result);
    return;
  }
  if (OnQuotaMessageDone(call, result)) return;
  if (version_reporting_.OnCallDone(call, result)) return;
  const auto found = calls_.find(call);
  if (found == calls_.end()) return;
  const RunningCall running = std::move(found->second);
  calls_.erase(found);
  if (running.is_group) {
    OnGroupDone(running, call, std::move(result));
  } else {
    OnLeafDone(running, call, std::move(result));
  }
}

void Gateway::OnLeafDone(const RunningCall& running, forward::CallId call,
                         LeafConnections::Result result) {
  const base::TimePoint now = clock_.Now();
  forward::LeafRecord& leaf = *running.callee;
  const bool was_backed_off = leaf.IsBackedOff(now);
  std::vector<forward::RunAction> actions;
  const auto request = requests_.find(running.request);
  auto* response = std::get_if<HttpResponse>(&result);
  if (response != nullptr) {
    if (response->status == 503)
      LogMalformedRetryAfter(running, response->fields);
    forward::LeafReply reply = ToLeafReply(std::move(*response));
    ApplyLeafNotices(running, reply);
    forward::CallOutcome outcome = forward::CallOutcome::kFailed;
    if (reply.wrong_incarnation) {
      outcome = forward::CallOutcome::kReplaced;
      leaf.MarkRemoved();
      ObserveLeaf(leaf, forward::LeafSign::kReplaced, now);
      host::LogStateChange("leaf_replaced",
                           leaf.entry().service + " " + leaf.entry().id,
                           running.request_id);
    } else if (reply.not_run) {
      outcome = forward::CallOutcome::kShed;
      ++counters_.leaf_sheds;
    } else if (reply.success() && !reply.signature.empty()) {
      outcome = forward::CallOutcome::kAnswered;
      ++counters_.leaf_answers;
      metrics_.OnLeafAnswer(now - running.sent);
    } else {
      ++counters_.leaf_failures;
    }
    if (!reply.wrong_incarnation)
      ObserveLeaf(leaf, forward::LeafSign::kAnswered, running.sent);
    ObserveEndedCall(running, outcome, &reply);
    leaf.OnCallEnded(running.sent, now, outcome);
    LogBackOff(leaf, was_backed_off, running.request_id);
    if (request == requests_.end()) return;
    request->second.run->OnReply(call, std::move(reply), actions);
  } else {
    const auto failure = std::get<forward::CallFailure>(result);
    if (failure != forward::CallFailure::kWithdrawn) ++counters_.leaf_failures;
    if (failure == forward::CallFailure::kMayHaveRun) OnCallLost(running);
    ObserveEndedCall(running, OutcomeOf(failure), nullptr);
    leaf.OnCallEnded(running.sent, now, OutcomeOf(failure));
    LogBackOff(leaf, was_backed_off, running.request_id);
    if (request == requests_.end()) return;
    request->second.run->OnFailure(call, failure, actions);
  }
  Execute(running.request, actions);
}

void Gateway::LogMalformedRetryAfter(const RunningCall& running,
                                     const HttpFields& fields) {
  if (!ParseRetryAfter(fields).malformed) return;
  const forward::LeafEntry& leaf = running.callee->entry();
  host::LogStateChange("leaf_pause_malformed", leaf.service + " " + leaf.id,
                       std::string(fields.Find("retry-after")));
}

void Gateway::ApplyLeafNotices(const RunningCall& running,
                               const forward::LeafReply& reply) {
  forward::LeafRecord& leaf = *running.callee;
  const std::string name = leaf.entry().service + " " + leaf.entry().id;
  if (reply.leaving && !leaf.leaving()) {
    ++counters_.leaves_leaving;
    directory_.MarkLeaving(leaf);
    host::LogStateChange("leaf_leaving", name, running.request_id);
  }
  if (!reply.wrong_incarnation) ApplyRateLimit(running, reply.rate_limit);
  if (!reply.requested_pause) return;
  const base::TimePoint until = clock_.Now() + *reply.requested_pause;
  if (until <= leaf.paused_until()) return;
  ++counters_.leaf_pauses;
  directory_.Pause(leaf, until);
  host::LogStateChange("leaf_paused", name,
                       std::to_string(reply.requested_pause->count()) +
                           " ms, " + running.request_id);
}

void Gateway::ApplyRateLimit(const RunningCall& running,
                             std::optional<double> rate) {
  forward::LeafRecord& leaf = *running.callee;
  if (rate == leaf.rate_limit()) return;
  // A leaf may state a slightly different limit in each answer.
  if (rate.has_value() != leaf.rate_limit().has_value()) {
    const std::string name = leaf.entry().service + " " + leaf.entry().id;
    if (rate) {
      ++counters_.leaf_rate_limits;
      host::LogStateChange(
          "leaf_rate_limited", name,
          std::to_string(*rate) + " per s, " + running.request_id);
    } else {
      host::LogStateChange("leaf_rate_limit_ended", name, running.request_id);
    }
  }
  directory_.SetRateLimit(leaf, rate);
}

void Gateway::LogBackOff(const forward::LeafRecord& leaf, bool was_backed_off,
                         const std::string& request) const {
  if (was_backed_off || !leaf.IsBackedOff(clock_.Now())) return;
  host::LogStateChange("leaf_backed_off",
                       leaf.entry().service + " " + leaf.entry().id, request);
}

void Gateway::OnClosed(ServerConnection& connection) {
  const auto found = request_by_connection_.find(&connection);
  if (found != request_by_connection_.end()) {
    const std::uint64_t id = found->second;
    request_by_connection_.erase(found);
    AbandonRequest(id);
  }
  if (const auto waiting = quota_by_connection_.extract(&connection))
    quota_gate_.Cancel(waiting.mapped());
  connections_.erase(&connection);
}

void Gateway::AbandonRequest(std::uint64_t id) {
  const auto request = requests_.find(id);
  if (request == requests_.end()) return;
  ++counters_.abandoned;
  const forward::RequestRun& run = *request->second.run;
  LogOutcome(run, 0, {.cause = "the caller left"},
             clock_.Now() - run.request().received);
  admission_.OnRequestDone(request->second.admitted_calls,
                           request->second.admitted_tenant);
  EndQuarantineRun(id, request->second);
  requests_.erase(request);
  wakeups_.Set(id, std::nullopt);
  // The caller no longer wants an answer, so the leaves need not go on with its
  // calls.
  std::vector<forward::CallId> cancelled;
  for (const auto& [call, running] : calls_)
    if (running.request == id) cancelled.push_back(call);
  for (const forward::CallId call : cancelled)
    CancelCall(call, forward::CallOutcome::kCancelled);
}

void Gateway::AbandonGroup(forward::CallId call) {
  const auto found = calls_.find(call);
  if (found == calls_.end()) return;
  // Other connections to an unresponsive host may be dead too.
  leaf_connections_.CloseIdleOf(found->second.callee->entry().id);
  CancelCall(call, forward::CallOutcome::kUnreachable);
}

void Gateway::CancelCall(forward::CallId call, forward::CallOutcome outcome) {
  const auto found = calls_.find(call);
  if (found == calls_.end()) return;
  const RunningCall running = std::move(found->second);
  calls_.erase(found);
  leaf_connections_.Cancel(call);
  if (!running.is_group) ObserveEndedCall(running, outcome, nullptr);
  running.callee->OnCallEnded(running.sent, clock_.Now(), outcome);
}

}  // namespace berylreach::gateway
