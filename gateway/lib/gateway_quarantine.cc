// Handles requests that are suspected of crashing the leaves that run them, and
// exchanges entries about them with other hosts.
#include <limits>
#include <utility>

#include "berylreach/forward/choose_gossip_peers.h"
#include "berylreach/gateway/gateway.h"
#include "berylreach/gateway/request_fingerprint.h"
#include "berylreach/gateway/suspect_codec.h"
#include "berylreach/host/log.h"
#include "response_bytes.h"

namespace berylreach::gateway {
namespace {

using std::chrono::milliseconds;

/// Timeout for sending an entry to another host.
constexpr milliseconds kNotifyTimeout{1000};

/// Retry-After for a suspect request while another attempt of it is running.
/// The outcome of that attempt is known after this time, unless its leaf is
/// slow.
constexpr milliseconds kBusyRetryAfter{200};

/// Time without any answer to a request after which its leaves may have crashed
/// silently, as a machine without power does. Pauses of a process are shorter.
constexpr milliseconds kUnansweredAfter{500};

/// Timeout of a health check, which waits for a slot as any call does.
constexpr milliseconds kHealthCheckTimeout{400};

const char* EventOf(model::SuspectState state) {
  switch (state) {
    case model::SuspectState::kSuspect:
      return "request_suspect";
    case model::SuspectState::kCleared:
      return "request_cleared";
    case model::SuspectState::kBlocked:
      break;
  }
  return "request_blocked";
}

const char* NameOf(forward::LeafSign sign) {
  switch (sign) {
    case forward::LeafSign::kConnectionRefused:
      return "connection refused";
    case forward::LeafSign::kReplaced:
      return "replaced";
    case forward::LeafSign::kUnlisted:
      return "unlisted";
    case forward::LeafSign::kAnswered:
      break;
  }
  return "answered";
}

forward::LostCall ToLostCall(std::uint64_t run_id,
                             const forward::RequestRun& run,
                             const forward::SubrequestCall& call) {
  return {.run = run_id,
          .fingerprint = run.request().fingerprint,
          .leaf = call.leaf->entry().id,
          .started_unix_ms = call.leaf->entry().started_unix_ms,
          .address = call.leaf->entry().address,
          .sole_call = call.sole_call};
}

}  // namespace

void Gateway::RefuseSuspect(ServerConnection& connection,
                            const HttpRequest& request,
                            forward::RunPermit permit,
                            std::uint64_t fingerprint) {
  ++counters_.blocked;
  std::string_view cause = "leaves ended under this request";
  auto retry_after = std::chrono::duration_cast<milliseconds>(
      quarantine_.RefusedFor(fingerprint));
  if (permit == forward::RunPermit::kBusy) {
    cause = "a leaf ended under this request, which runs alone now";
    retry_after = kBusyRetryAfter;
  } else if (permit == forward::RunPermit::kHeld) {
    cause = "a leaf that ran this request does not answer";
  }
  RefuseAtOnce(connection, request, 503, cause, retry_after);
}

void Gateway::OnCallLost(const RunningCall& running) {
  ++counters_.leaf_calls_lost;
  const forward::LeafEntry& leaf = running.callee->entry();
  host::LogStateChange("leaf_call_lost", leaf.service + " " + leaf.id,
                       running.request_id);
  // Nothing is recorded for a request that has already ended: it has its final
  // response, or its sender (a caller or another host) has closed the
  // connection.
  const auto request = requests_.find(running.request);
  if (request == requests_.end()) return;
  quarantine_.OnCallLost(
      {.run = running.request,
       .fingerprint = request->second.run->request().fingerprint,
       .leaf = leaf.id,
       .started_unix_ms = leaf.started_unix_ms,
       .address = leaf.address,
       .sole_call = running.sole_call});
  leaf_connections_.TryConnect(
      *running.callee,
      [this, callee = running.callee](LeafConnections::ConnectResult result) {
        ObserveConnectResult(*callee, result);
      });
}

void Gateway::ReportUnansweredCalls() {
  const base::TimePoint now = clock_.Now();
  for (auto& [id, request] : requests_) {
    const forward::RequestRun& run = *request.run;
    if (run.completed_any() || now < run.request().received + kUnansweredAfter)
      continue;
    std::vector<forward::LostCall> calls;
    for (const forward::SubrequestCall& call : run.OverdueCalls())
      if (call.leaf->IsUnresponsive(now))
        calls.push_back(ToLostCall(id, run, call));
    if (calls.size() <= request.reported_unanswered) continue;
    request.reported_unanswered = calls.size();
    quarantine_.OnCallsUnanswered(std::move(calls));
  }
}

void Gateway::EndQuarantineRun(std::uint64_t id,
                               const RunningRequest& request) {
  const forward::RequestRun& run = *request.run;
  for (const forward::SubrequestCall& call : run.OverdueCalls())
    quarantine_.OnCallLost(ToLostCall(id, run, call));
  forward::RequestQuarantine::Actions actions;
  quarantine_.OnRunEnded({.run = id,
                          .fingerprint = run.request().fingerprint,
                          .probed_first = request.probed_first,
                          .completed = run.completed_any()},
                         actions);
  PublishSuspects(actions);
  CheckSuspectLeaves();
}

void Gateway::CheckSuspectLeaves() {
  for (const std::string& id : quarantine_.LeavesToCheck()) {
    const std::shared_ptr<forward::LeafRecord> leaf = directory_.Find(id);
    if (leaf == nullptr) continue;
    leaf_connections_.TryConnect(
        *leaf, [this, leaf](LeafConnections::ConnectResult result) {
          ObserveConnectResult(*leaf, result);
          if (result == LeafConnections::ConnectResult::kOpened)
            SendHealthCheck(leaf);
        });
  }
}

void Gateway::ObserveConnectResult(const forward::LeafRecord& leaf,
                                   LeafConnections::ConnectResult result) {
  if (result == LeafConnections::ConnectResult::kRefused)
    ObserveLeaf(leaf, forward::LeafSign::kConnectionRefused, clock_.Now());
}

void Gateway::SendHealthCheck(
    const std::shared_ptr<forward::LeafRecord>& leaf) {
  const auto& table = tables_.current();
  const forward::Service* service =
      table ? table->FindService(leaf->entry().service) : nullptr;
  if (service == nullptr || service->health_path.empty()) return;
  const base::TimePoint now = clock_.Now();
  OutgoingCall call;
  call.id = next_id_++;
  call.bytes = "GET " + service->health_path +
               " HTTP/1.1\r\nHost: " + leaf->entry().address + "\r\n\r\n";
  call.max_connections = std::numeric_limits<std::size_t>::max();
  call.deadline = now + kHealthCheckTimeout;
  health_checks_[call.id] = {.leaf = leaf, .sent = now};
  leaf_connections_.Start(*leaf, std::move(call));
}

void Gateway::OnHealthCheckDone(const HealthCheck& check,
                                const LeafConnections::Result& result) {
  const auto* response = std::get_if<HttpResponse>(&result);
  if (response == nullptr) return;
  const std::string_view id = response->fields.Find(settings_.names.leaf_id);
  if (id.empty()) return;
  const bool same = id == check.leaf->entry().id;
  if (same) check.leaf->OnAnswerTo(check.sent);
  ObserveLeaf(
      *check.leaf,
      same ? forward::LeafSign::kAnswered : forward::LeafSign::kReplaced,
      check.sent);
}

void Gateway::MarkDoubtful(const std::string& id) {
  const auto leaf = directory_.Find(id);
  if (leaf != nullptr) leaf->MarkDoubtful(clock_.Now());
}

void Gateway::ObserveLeaf(const forward::LeafRecord& leaf,
                          forward::LeafSign sign, base::TimePoint at) {
  if (!quarantine_.AwaitsObservations()) return;
  forward::RequestQuarantine::Actions actions;
  const bool shows_fate = quarantine_.OnLeafObserved(
      {.leaf = leaf.entry().id,
       .started_unix_ms = leaf.entry().started_unix_ms,
       .sign = sign,
       .at = at,
       .was_leaving = leaf.leaving() || leaf.entry().draining},
      actions);
  if (shows_fate)
    host::LogStateChange("suspect_leaf_observed",
                         leaf.entry().service + " " + leaf.entry().id,
                         NameOf(sign));
  PublishSuspects(actions);
}

void Gateway::SetViewCurrency(const forward::ViewCurrency& view) {
  quarantine_.SetViewCurrency(view);
  feed_.SetViewCurrentAt(view.until);
}

void Gateway::ObserveDirectory() {
  directory_.SetObservers(
      [this](const forward::LeafEntry& leaf) {
        if (!quarantine_.AwaitsObservations()) return;
        forward::RequestQuarantine::Actions actions;
        quarantine_.OnLeafListed(leaf.id, leaf.address, actions);
        PublishSuspects(actions);
      },
      [this](const forward::LeafRecord& leaf, bool replaced) {
        ObserveLeaf(leaf,
                    replaced ? forward::LeafSign::kReplaced
                             : forward::LeafSign::kUnlisted,
                    clock_.Now());
      });
}

void Gateway::PublishSuspects(
    const forward::RequestQuarantine::Actions& actions) {
  for (const quarantine::Action& action : actions) {
    const auto& update = std::get<quarantine::PublishSuspects>(action).update;
    for (const model::SuspectEntry& entry : update.entries) {
      LogSuspect(entry, settings_.host);
      // A suspicion is over before it would be known through the store.
      if (publish_suspect_ && entry.crashes > 0) publish_suspect_(entry);
      suspect_queue_.Put(entry);
    }
  }
  NotifyHosts();
}

void Gateway::NotifyHosts() {
  while (const auto entry = suspect_queue_.Take()) {
    const std::vector<std::string> peers = forward::ChooseGossipPeers(
        settings_.host, planner_.HostNames(), entry->fingerprint,
        entry->crashes > 0 ? forward::kGossipFanout
                           : forward::kSuspicionFanout);
    for (const std::string& peer : peers)
      if (const auto host = planner_.Find(peer)) NotifyHost(*host, *entry);
  }
}

void Gateway::NotifyHost(const forward::LeafRecord& host,
                         const model::SuspectEntry& entry) {
  // The result is not needed, so calls_ has no entry for this call.
  OutgoingCall message;
  message.id = next_id_++;
  message.request_id = FormatFingerprint(entry.fingerprint);
  // The entry of a host has the same type as that of a leaf; its slots are the
  // requests that the host runs concurrently without delay.
  message.max_connections = host.entry().slots;
  message.deadline = clock_.Now() + kNotifyTimeout;
  const std::string body = FormatSuspect(entry);
  message.bytes = "POST " + std::string(kSuspectPath) + " HTTP/1.1\r\n" +
                  RequestIdLine(message.request_id) +
                  "Content-Length: " + std::to_string(body.size()) +
                  "\r\n\r\n" + body;
  leaf_connections_.Start(host, std::move(message));
}

void Gateway::OnSuspectNotification(ServerConnection& connection,
                                    const HttpRequest& request) {
  const auto entry = ParseSuspect(request.body);
  const int status = entry ? 200 : 400;
  connection.Respond(
      ResponseBytes(
          status, ReasonOf(status),
          RequestIdLine(request.fields.Find(settings_.names.request_id)), "",
          /*keep_alive=*/true),
      /*keep_alive=*/true);
  // An entry that this host knew already is not forwarded, which ends the
  // gossip.
  if (!entry) return;
  // Ranking all hosts costs time in a large fleet, and few entries hold a
  // request.
  const bool checks_leaves =
      entry->hold_for.count() > 0 &&
      forward::ChecksLeavesOf(entry->fingerprint, settings_.host,
                              planner_.HostNames());
  if (!quarantine_.Merge(*entry, checks_leaves)) return;
  LogSuspect(*entry, "another host");
  for (const model::UnansweredLeaf& leaf : entry->unanswered_leaves)
    MarkDoubtful(leaf.id);
  for (const std::string& leaf : entry->doubtful_leaves) MarkDoubtful(leaf);
  suspect_queue_.Put(*entry);
  NotifyHosts();
}

void Gateway::MergeSuspect(const model::SuspectEntry& entry) {
  if (quarantine_.Merge(entry)) LogSuspect(entry, "another host");
}

void Gateway::LogSuspect(const model::SuspectEntry& entry,
                         const std::string& source) {
  std::string detail = std::to_string(entry.crashes) + " leaf crashes";
  if (entry.hold_for.count() > 0)
    detail += ", held for " + std::to_string(entry.hold_for.count()) + " ms";
  host::LogStateChange(EventOf(entry.state),
                       FormatFingerprint(entry.fingerprint),
                       detail + ", reported by " + source);
}

}  // namespace berylreach::gateway
