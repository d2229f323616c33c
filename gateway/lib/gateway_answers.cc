// Final responses to callers and to hosts for which this one runs groups of
// shards.
#include <cstdio>
#include <utility>

#include "berylreach/gateway/gateway.h"
#include "berylreach/gateway/group_codec.h"
#include "berylreach/gateway/request_fingerprint.h"
#include "berylreach/host/log.h"
#include "response_bytes.h"
#include "tenant_fields.h"

namespace berylreach::gateway {
namespace {

using std::chrono::milliseconds;

std::string FormatSeconds(milliseconds span) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.3f",
                std::chrono::duration<double>(span).count());
  return text;
}

/// Returns the HTTP status of a refusal.
int StatusOf(forward::Refusal refusal) {
  switch (refusal) {
    case forward::Refusal::kNotRun:
      return 503;
    case forward::Refusal::kMayHaveRun:
      return 502;
    case forward::Refusal::kTimedOut:
    case forward::Refusal::kNone:
      break;
  }
  return 504;
}

RequestOutcome OutcomeOf(int status, std::size_t missing) {
  if (status == 503) return RequestOutcome::kRefused;
  if (status >= 400) return RequestOutcome::kFailed;
  return missing > 0 ? RequestOutcome::kPartial : RequestOutcome::kWhole;
}

}  // namespace

void Gateway::Finish(std::uint64_t id, forward::CallerReply reply) {
  const auto found = requests_.find(id);
  const RunningRequest request = std::move(found->second);
  requests_.erase(found);
  wakeups_.Set(id, std::nullopt);
  admission_.OnRequestDone(request.admitted_calls, request.admitted_tenant);
  const auto connection = request.connection.lock();
  if (connection) request_by_connection_.erase(connection.get());

  EndQuarantineRun(id, request);
  const forward::RequestRun& run = *request.run;
  const auto latency = clock_.Now() - run.request().received;
  std::string fields;
  int status = reply.reply.status;
  std::string_view reason = reply.reply.reason;
  if (reply.refusal != forward::Refusal::kNone) {
    status = StatusOf(reply.refusal);
    reason = ReasonOf(status);
    ++(status == 503 ? counters_.refused : counters_.failed);
    if (status == 503 && !request.for_other_host)
      tenant_metrics_.OnRefused(run.request().tenant,
                                TenantRefusal::kUnavailable);
    if (reply.retry_after.count() > 0)
      fields = "Retry-After: " + FormatSeconds(reply.retry_after) + "\r\n";
    reply.reply.body = reply.cause;
  } else {
    ++counters_.answered;
    fields = std::move(reply.reply.fields);
  }
  if (!reply.signatures.empty()) {
    if (reply.missing_shards > 0) ++counters_.partial;
    const WireNames& names = settings_.names;
    fields.append(names.part_signatures).append(": ");
    fields.append(JoinSignatures(reply.signatures)).append("\r\n");
    fields.append(names.missing_parts).append(": ");
    fields.append(std::to_string(reply.missing_shards)).append("\r\n");
  }
  // A merged response or a refusal echoes the request id as leaves do, so that
  // callers and other hosts can match it to its request.
  if (reply.reply.signature.empty())
    fields.append(RequestIdLine(run.request().id));
  metrics_.OnRequest(run.route().name, OutcomeOf(status, reply.missing_shards),
                     latency);
  const bool late = latency > run.route().objective;
  if (late) ++counters_.late;
  if (status >= 400 || late || reply.missing_shards > 0)
    LogOutcome(run, status, reply, latency);
  if (!connection || connection->closed()) return;
  const bool keep_alive = request.keep_alive && !stopping_;
  std::string bytes =
      ResponseBytes(status, reason, fields, reply.reply.body, keep_alive);
  if (request.is_head) bytes.resize(bytes.size() - reply.reply.body.size());
  connection->Respond(std::move(bytes), keep_alive);
}

std::string Gateway::RequestIdLine(std::string_view id) const {
  return settings_.names.request_id + ": " + std::string(id) + "\r\n";
}

void Gateway::LogOutcome(const forward::RequestRun& run, int status,
                         const forward::CallerReply& reply,
                         base::Duration latency) const {
  host::LogRequest({.id = run.request().id,
                    .fingerprint = FormatFingerprint(run.request().fingerprint),
                    .route = run.route().name,
                    .tenant = run.request().tenant,
                    .status = status,
                    .cause = reply.cause,
                    .latency = latency,
                    .answered = run.answered(),
                    .subrequests = run.subrequest_count(),
                    .calls = run.calls_sent(),
                    .unanswered = run.DescribeUnanswered(),
                    .group_hosts = run.DescribeHosts(),
                    .version = configuration_version()});
}

void Gateway::RefuseAccess(ServerConnection& connection,
                           const HttpRequest& request,
                           forward::AccessRefusal refusal) {
  if (refusal == forward::AccessRefusal::kNoRegion) {
    tenant_metrics_.OnRefused(request.tenant, TenantRefusal::kRegions);
  } else {
    tenant_metrics_.OnKeyRefused(refusal);
  }
  RefuseAtOnce(connection, request, StatusOf(refusal), CauseOf(refusal),
               milliseconds(0));
}

void Gateway::RefuseAtOnce(ServerConnection& connection,
                           const HttpRequest& request, int status,
                           std::string_view cause, milliseconds retry_after) {
  ++counters_.refused;
  host::LogRequest(
      {.id = std::string(request.fields.Find(settings_.names.request_id)),
       .fingerprint =
           FormatFingerprint(FingerprintOf(request, settings_.names)),
       .route = request.target,
       .tenant = request.tenant,
       .status = status,
       .cause = std::string(cause),
       .version = configuration_version()});
  std::string fields;
  const std::string_view id = request.fields.Find(settings_.names.request_id);
  if (!id.empty()) fields = RequestIdLine(id);
  if (retry_after.count() > 0)
    fields.append("Retry-After: " + FormatSeconds(retry_after) + "\r\n");
  const bool keep_alive = request.keep_alive && !stopping_;
  connection.Respond(
      ResponseBytes(status, ReasonOf(status), fields,
                    request.method == "HEAD" ? std::string_view() : cause,
                    keep_alive),
      keep_alive);
}

}  // namespace berylreach::gateway
