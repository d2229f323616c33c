// Charges callers' requests to the quotas of their tenants, and exchanges
// claims with other hosts.
#include <memory>
#include <utility>

#include "berylreach/gateway/gateway.h"
#include "berylreach/gateway/quota_codec.h"
#include "berylreach/host/log.h"
#include "response_bytes.h"

namespace berylreach::gateway {
namespace {

/// Prefix of the names of tenants' limits, which tells them from other limits
/// that hosts keep together.
constexpr std::string_view kTenantLimitPrefix = "tenant/";

/// Shortest time between log lines about the refusals of one tenant.
constexpr std::chrono::seconds kRefusalLogInterval{10};

std::string LimitOf(const std::string& tenant) {
  return std::string(kTenantLimitPrefix) + tenant;
}

}  // namespace

void Gateway::SetQuotas(const forward::Configuration& configuration) {
  std::vector<forward::LimitSpec> limits;
  for (const forward::Tenant& tenant : configuration.tenants)
    if (tenant.rate > 0)
      limits.push_back({LimitOf(tenant.name), tenant.rate, tenant.burst});
  quota_logged_at_.clear();
  quota_gate_.SetLimits(limits);
}

bool Gateway::IsCharged(const HttpRequest& request) const {
  return !request.tenant.empty() &&
         quota_gate_.HasLimit(LimitOf(request.tenant));
}

void Gateway::ChargeQuota(ServerConnection& connection, HttpRequest request,
                          forward::RouteTableHistory::Table table,
                          const forward::Route& route,
                          forward::TenantAccess access) {
  const std::string limit = LimitOf(request.tenant);
  // `table` keeps `route` alive.
  auto held = std::make_shared<HttpRequest>(std::move(request));
  const std::uint64_t id = quota_gate_.Request(
      limit,
      [this, held, table = std::move(table), &route, access = std::move(access),
       weak = connection.weak_from_this()](const QuotaDecision& decision) {
        const auto caller = weak.lock();
        if (!caller) return;
        quota_by_connection_.erase(caller.get());
        if (decision.admitted) {
          StartRun(*caller, std::move(*held), table, route, access, nullptr);
        } else {
          RefuseByQuota(*caller, *held, table->configuration().version,
                        decision);
        }
      });
  if (quota_gate_.IsWaiting(id)) quota_by_connection_[&connection] = id;
}

void Gateway::RefuseByQuota(ServerConnection& connection,
                            const HttpRequest& request, std::uint64_t version,
                            const QuotaDecision& decision) {
  tenant_metrics_.OnRefused(request.tenant, decision.over_limit
                                                ? TenantRefusal::kQuota
                                                : TenantRefusal::kQuotaUnknown);
  const base::TimePoint now = clock_.Now();
  const auto [logged, is_new] =
      quota_logged_at_.try_emplace(request.tenant, now);
  if (is_new || now >= logged->second + kRefusalLogInterval) {
    logged->second = now;
    host::LogStateChange(
        decision.over_limit ? "quota_exhausted" : "quota_unknown",
        request.tenant, "configuration " + std::to_string(version));
  }
  if (decision.over_limit) {
    RefuseAtOnce(connection, request, 429, "over the tenant's quota",
                 decision.retry_after);
  } else {
    RefuseAtOnce(connection, request, 503, "the tenant's quota is not known",
                 decision.retry_after);
  }
}

bool Gateway::SendQuotaMessage(std::uint64_t id, const std::string& host,
                               const std::string& body,
                               base::TimePoint deadline) {
  const auto peer = planner_.Find(host);
  if (!peer) return false;
  OutgoingCall message;
  message.id = id;
  message.request_id = "quota-" + std::to_string(message.id);
  message.max_connections = peer->entry().slots;
  message.deadline = deadline;
  message.bytes = "POST " + std::string(kQuotaClaimPath) + " HTTP/1.1\r\n" +
                  RequestIdLine(message.request_id) +
                  "Content-Length: " + std::to_string(body.size()) +
                  "\r\n\r\n" + body;
  leaf_connections_.Start(*peer, std::move(message));
  return true;
}

bool Gateway::OnQuotaMessageDone(forward::CallId call,
                                 const LeafConnections::Result& result) {
  const auto* response = std::get_if<HttpResponse>(&result);
  if (response == nullptr || response->status != 200)
    return quota_gate_.OnMessageDone(call, std::nullopt);
  return quota_gate_.OnMessageDone(call, response->body);
}

void Gateway::OnQuotaMessage(ServerConnection& connection,
                             const HttpRequest& request) {
  // A message that is not a POST request has no claims.
  const auto answer = request.method == "POST"
                          ? quota_gate_.OnMessage(request.body)
                          : std::nullopt;
  const int status = answer ? 200 : 400;
  connection.Respond(
      ResponseBytes(
          status, ReasonOf(status),
          RequestIdLine(request.fields.Find(settings_.names.request_id)),
          answer.value_or(""), /*keep_alive=*/true),
      /*keep_alive=*/true);
}

}  // namespace berylreach::gateway
