// Connects the request path to the version shifts of services: what the calls
// to leaves show, and the reports between hosts.
#include <algorithm>

#include "berylreach/gateway/gateway.h"
#include "berylreach/gateway/version_report_codec.h"
#include "response_bytes.h"

namespace berylreach::gateway {
namespace {

using std::chrono::milliseconds;

/// Timeout for the answer to a report, after which another host is asked.
constexpr milliseconds kReportTimeout{300};

/// In larger fleets, an arbiter does not keep the connections open over which
/// hosts report: one of each host would cost it too much memory.
constexpr std::size_t kMaxHostsKeptConnected = 200;

/// Whether a response shows that its leaf cannot form a valid answer. A status
/// that says that the leaf is busy needs no signature.
bool IsBroken(const forward::LeafReply& reply) {
  return reply.signature.empty() && !reply.not_run &&
         !reply.wrong_incarnation && reply.status != 503;
}

/// Whether a response asks for a pause, which shows load and not the version.
bool AsksForPause(const forward::LeafReply& reply) {
  return reply.status == 503 && reply.signature.empty();
}

}  // namespace

void Gateway::ObserveEndedCall(const RunningCall& running,
                               forward::CallOutcome outcome,
                               const forward::LeafReply* reply) {
  const bool pause = reply != nullptr && AsksForPause(*reply);
  version_reporting_.OnCallEnded(
      *running.callee,
      {.route = running.route,
       .outcome = pause ? forward::CallOutcome::kShed : outcome,
       .latency = clock_.Now() - running.sent,
       .was_cold = running.was_cold,
       .broken_answer = reply != nullptr && IsBroken(*reply),
       .suspect = running.is_suspect});
}

std::chrono::milliseconds Gateway::LongestTimeout(
    const std::string& service) const {
  milliseconds longest{0};
  const auto& table = tables_.current();
  if (!table) return longest;
  for (const forward::Route& route : table->configuration().routes) {
    const bool uses = std::find(route.shards.begin(), route.shards.end(),
                                service) != route.shards.end() ||
                      std::any_of(route.services.begin(), route.services.end(),
                                  [&service](const auto& weighted) {
                                    return weighted.service == service;
                                  });
    if (uses) longest = std::max(longest, route.timeout);
  }
  return longest;
}

std::optional<forward::CallId> Gateway::SendVersionReport(
    const std::string& host, const std::string& body) {
  const auto record = planner_.Find(host);
  if (record == nullptr) return std::nullopt;
  OutgoingCall message;
  message.id = next_id_++;
  message.request_id = "version-report-" + std::to_string(message.id);
  // As for suspect entries: the slots of a host are the requests that it runs
  // concurrently without delay.
  message.max_connections = record->entry().slots;
  message.deadline = clock_.Now() + kReportTimeout;
  message.bytes = "POST " + std::string(kVersionReportPath) + " HTTP/1.1\r\n" +
                  RequestIdLine(message.request_id) +
                  "Content-Length: " + std::to_string(body.size()) +
                  "\r\n\r\n" + body;
  const forward::CallId id = message.id;
  leaf_connections_.Start(*record, std::move(message));
  return id;
}

void Gateway::OnVersionReport(ServerConnection& connection,
                              const HttpRequest& request) {
  const auto answer = version_reporting_.OnReport(request.body);
  const int status = answer ? 200 : 400;
  const bool keep_alive = HostCount() <= kMaxHostsKeptConnected;
  connection.Respond(
      ResponseBytes(
          status, ReasonOf(status),
          RequestIdLine(request.fields.Find(settings_.names.request_id)),
          answer.value_or(""), keep_alive),
      keep_alive);
}

}  // namespace berylreach::gateway
