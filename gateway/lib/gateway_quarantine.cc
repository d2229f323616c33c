// Handles requests that are suspected of crashing the leaves that run them, and
// exchanges entries about them with other hosts.
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

}  // namespace

void Gateway::RefuseSuspect(ServerConnection& connection,
                            const HttpRequest& request,
                            forward::RunPermit permit,
                            std::uint64_t fingerprint) {
  ++counters_.blocked;
  if (permit == forward::RunPermit::kBusy) {
    RefuseAtOnce(connection, request, 503,
                 "a leaf ended under this request, which runs alone now",
                 kBusyRetryAfter);
    return;
  }
  RefuseAtOnce(connection, request, 503, "leaves ended under this request",
               std::chrono::duration_cast<milliseconds>(
                   quarantine_.BlockedFor(fingerprint)));
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
       .sole_call = running.sole_call});
  leaf_connections_.CheckAlive(
      *running.callee, [this, id = leaf.id](bool crashed) {
        forward::RequestQuarantine::Actions actions;
        quarantine_.OnLeafChecked(id, crashed, actions);
        PublishSuspects(actions);
      });
}

void Gateway::EndQuarantineRun(std::uint64_t id,
                               const RunningRequest& request) {
  const forward::RequestRun& run = *request.run;
  forward::RequestQuarantine::Actions actions;
  quarantine_.OnRunEnded({.run = id,
                          .fingerprint = run.request().fingerprint,
                          .probed_first = request.probed_first,
                          .completed = run.completed_any()},
                         actions);
  PublishSuspects(actions);
}

void Gateway::PublishSuspects(
    const forward::RequestQuarantine::Actions& actions) {
  for (const quarantine::Action& action : actions) {
    const auto& update = std::get<quarantine::PublishSuspects>(action).update;
    for (const model::SuspectEntry& entry : update.entries) {
      LogSuspect(entry, settings_.host);
      if (publish_suspect_) publish_suspect_(entry);
      suspect_queue_.Put(entry);
    }
  }
  NotifyHosts();
}

void Gateway::NotifyHosts() {
  while (const auto entry = suspect_queue_.Take()) {
    const std::vector<std::string> peers = forward::ChooseGossipPeers(
        settings_.host, planner_.HostNames(), entry->fingerprint);
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
  if (!entry || !quarantine_.Merge(*entry)) return;
  LogSuspect(*entry, "another host");
  suspect_queue_.Put(*entry);
  NotifyHosts();
}

void Gateway::MergeSuspect(const model::SuspectEntry& entry) {
  if (quarantine_.Merge(entry)) LogSuspect(entry, "another host");
}

void Gateway::LogSuspect(const model::SuspectEntry& entry,
                         const std::string& source) {
  host::LogStateChange(
      EventOf(entry.state), FormatFingerprint(entry.fingerprint),
      std::to_string(entry.crashes) + " leaf crashes, reported by " + source);
}

}  // namespace berylreach::gateway
