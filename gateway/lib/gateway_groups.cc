// Handles the groups of shards that hosts run for each other: requests from
// other hosts and calls to other hosts.
#include <utility>

#include "berylreach/gateway/gateway.h"
#include "berylreach/gateway/group_codec.h"
#include "berylreach/gateway/quota_codec.h"
#include "berylreach/gateway/suspect_codec.h"
#include "berylreach/gateway/version_report_codec.h"
#include "berylreach/host/log.h"
#include "group_field.h"
#include "tenant_fields.h"

namespace berylreach::gateway {
namespace {

using std::chrono::milliseconds;

/// Status with which a host declines to run a group. The sender may then call
/// the leaves itself.
constexpr int kDeclinedStatus = 421;
/// Status with which a host reports that it ran nothing, because it is
/// overloaded or leaves are unavailable.
constexpr int kRefusedStatus = 503;

/// Status of an interim response with the partial answer so far.
constexpr int kProgressStatus = 103;
/// Header field that holds the top records of a partial answer, since an
/// interim response has no body.
constexpr std::string_view kRecordsField = "Berylreach-Records";

forward::GroupFailure ToGroupFailure(const LeafConnections::Result& result) {
  const auto* response = std::get_if<HttpResponse>(&result);
  if (response == nullptr) {
    const auto failure = std::get<forward::CallFailure>(result);
    const bool sent = failure != forward::CallFailure::kNotSent &&
                      failure != forward::CallFailure::kWithdrawn;
    return sent ? forward::GroupFailure::kLost
                : forward::GroupFailure::kDeclined;
  }
  if (response->status == kDeclinedStatus)
    return forward::GroupFailure::kDeclined;
  return response->status == kRefusedStatus ? forward::GroupFailure::kRefused
                                            : forward::GroupFailure::kFailed;
}

/// Returns what the result of a group call says about the host.
forward::CallOutcome OutcomeOf(const LeafConnections::Result& result) {
  const auto* response = std::get_if<HttpResponse>(&result);
  if (response == nullptr && std::get<forward::CallFailure>(result) ==
                                 forward::CallFailure::kWithdrawn)
    return forward::CallOutcome::kCancelled;
  // A host that declines is starting or stopping, or has another configuration;
  // it is not selected for a while.
  if (response == nullptr || response->status == kDeclinedStatus)
    return forward::CallOutcome::kUnreachable;
  return response->status == kRefusedStatus ? forward::CallOutcome::kShed
                                            : forward::CallOutcome::kAnswered;
}

}  // namespace

void Gateway::OnPeerRequest(ServerConnection& connection, HttpRequest request) {
  DetectProcessPause();
  if (request.target.starts_with(kFeedPath)) {
    feed_.OnRequest(connection, request.target);
    return;
  }
  if (request.target == kSuspectPath) {
    OnSuspectNotification(connection, request);
    return;
  }
  if (request.target == kQuotaClaimPath) {
    OnQuotaMessage(connection, request);
    return;
  }
  if (request.target == kVersionReportPath) {
    OnVersionReport(connection, request);
    return;
  }
  const auto header = ParseGroupHeader(request.fields.Find(kGroupField));
  const forward::Route* route = nullptr;
  // A route table of another version is suitable too if the digest of its route
  // equals the sender's.
  const auto is_suitable = [&](const forward::RouteTable& table) {
    route = FindRoute(table, request);
    return route != nullptr && ShardDigest(*route) == header->digest &&
           header->shards.back() < route->shards.size();
  };
  const forward::RouteTableHistory::Table table =
      header && IsReady() ? FindTable(is_suitable) : nullptr;
  if (table == nullptr) {
    const std::string cause =
        "cannot run for a host with configuration " +
        (header ? std::to_string(header->version) : "unknown");
    RefuseAtOnce(connection, request, kDeclinedStatus, cause, milliseconds(0));
    return;
  }
  const forward::ShardSubset subset{
      .shards = header->shards,
      .allowed_missing = header->allowed_missing,
      .may_skip = header->may_skip,
      .partial_at = clock_.Now() + header->partial_in,
      .repeats = header->repeats};
  ++counters_.groups_run;
  forward::TenantAccess access =
      TakeTenant(*table, *route, settings_.names, request);
  StartRun(connection, std::move(request), table, *route, std::move(access),
           &subset);
}

void Gateway::SendGroupCall(const RunningRequest& request, std::uint64_t id,
                            forward::StartGroupCall& action) {
  ++counters_.groups_sent;
  const forward::RequestRun& run = *request.run;
  const GroupHeader header{
      .version = configuration_version(),
      .digest = request.shard_digest,
      .shards = std::move(action.subset.shards),
      .allowed_missing = action.subset.allowed_missing,
      .may_skip = action.subset.may_skip,
      .partial_in = std::chrono::duration_cast<milliseconds>(
          action.subset.partial_at - clock_.Now()),
      .repeats = action.subset.repeats};
  calls_[action.call] = {.request = id,
                         .callee = action.host,
                         .is_group = true,
                         .request_id = run.request().id,
                         .sent = action.sent};
  OutgoingCall message;
  message.id = action.call;
  message.request_id = run.request().id;
  message.is_head = request.is_head;
  message.max_connections = action.host->entry().slots;
  message.deadline = action.deadline;
  std::string field(kGroupField);
  field.append(": ").append(FormatGroupHeader(header)).append("\r\n");
  message.bytes = FormatCall(run.request(), action.deadline, field);
  leaf_connections_.Start(*action.host, std::move(message));
}

void Gateway::SendGroupProgress(const RunningRequest& request,
                                const forward::GroupReply& reply) {
  const auto connection = request.connection.lock();
  if (!connection) return;
  std::string bytes =
      "HTTP/1.1 " + std::to_string(kProgressStatus) + " Early Hints\r\n";
  bytes.append(RequestIdLine(request.run->request().id));
  bytes.append(settings_.names.part_signatures).append(": ");
  bytes.append(JoinSignatures(reply.signatures)).append("\r\n");
  bytes.append(kRecordsField).append(": ");
  bytes.append(FormatRecords(reply.records)).append("\r\n\r\n");
  connection->RespondInterim(bytes);
}

void Gateway::OnGroupProgress(forward::CallId call,
                              const HttpResponse& response) {
  const auto found = calls_.find(call);
  if (found == calls_.end() || !found->second.is_group ||
      response.status != kProgressStatus)
    return;
  const std::uint64_t id = found->second.request;
  const auto request = requests_.find(id);
  if (request == requests_.end()) return;
  auto records = ParseRecords(response.fields.Find(kRecordsField));
  if (!records) {
    host::LogStateChange("group_progress_malformed",
                         found->second.callee->entry().id,
                         found->second.request_id);
    return;
  }
  std::vector<forward::RunAction> actions;
  request->second.run->OnGroupProgress(
      call,
      {.signatures = SplitSignatures(
           response.fields.Find(settings_.names.part_signatures)),
       .records = std::move(*records)},
      actions);
  Execute(id, actions);
}

void Gateway::OnGroupDone(const RunningCall& running, forward::CallId call,
                          LeafConnections::Result result) {
  running.callee->OnCallEnded(running.sent, clock_.Now(), OutcomeOf(result));
  const auto request = requests_.find(running.request);
  if (request == requests_.end()) return;
  forward::RequestRun& run = *request->second.run;
  std::vector<forward::RunAction> actions;
  auto* response = std::get_if<HttpResponse>(&result);
  if (response != nullptr && response->status == 200) {
    run.OnGroupReply(call,
                     {.signatures = SplitSignatures(response->fields.Find(
                          settings_.names.part_signatures)),
                      .records = std::move(response->body)},
                     actions);
  } else {
    ++counters_.group_failures;
    host::LogStateChange("group_failed", running.callee->entry().id,
                         running.request_id);
    run.OnGroupFailure(call, ToGroupFailure(result), actions);
  }
  Execute(running.request, actions);
}

}  // namespace berylreach::gateway
