// Routes and handlers of a host's HTTP interface.
#include "berylreach/host/http_frontend.h"

#include <charconv>
#include <cstdint>
#include <optional>
#include <string_view>
#include <utility>

#include "berylreach/build_info/build_info.h"
#include "berylreach/config/caller_reply_codec.h"
#include "berylreach/config/caller_request_codec.h"
#include "berylreach/config/host_status.h"
#include "berylreach/config/host_timeline.h"
#include "berylreach/host/core_metrics.h"
#include "berylreach/host/random_incarnation.h"

namespace berylreach::host {
namespace {

using model::ErrorCode;
using model::ExecutionStatus;
using model::Refusal;
using model::RequestKind;
using std::chrono::milliseconds;

constexpr std::string_view kAfterParameter = "?after=";
constexpr std::string_view kTimelineTarget = "/v1/timeline";
/// Content type of the Prometheus text exposition format.
constexpr std::string_view kTextExposition = "text/plain; version=0.0.4";
/// Retry-After of requests refused because the core thread's channel is full.
constexpr milliseconds kBusyRetryAfter{200};

std::optional<RequestKind> KindOf(std::string_view target) {
  if (target == "/v1/query") return RequestKind::kQuery;
  if (target == "/v1/lookup") return RequestKind::kLookup;
  if (target == "/v1/order") return RequestKind::kOrder;
  return std::nullopt;
}

std::uint64_t ParseAfter(std::string_view target) {
  const auto position = target.find(kAfterParameter);
  if (position == std::string_view::npos) return 0;
  const auto digits = target.substr(position + kAfterParameter.size());
  std::uint64_t after = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), after);
  return after;
}

transport::HttpResponse StatusOf(const core::HostCore& core) {
  config::HostStatus status;
  status.host = core.self().host;
  status.incarnation = core.self().incarnation;
  status.zone = core.self().zone;
  status.epoch = core.epoch();
  status.document = core.document();
  status.has_lease = core.HoldsLease();
  status.ready = core.ready();
  status.build = build_info::Describe(build_info::ThisBuild());
  transport::HttpResponse response;
  response.body = config::EncodeHostStatus(status);
  return response;
}

transport::HttpResponse ReadinessOf(const core::HostCore& core) {
  transport::HttpResponse response;
  response.status = core.ready() ? 200 : 503;
  response.body = core.ready() ? R"({"ready":true})" : R"({"ready":false})";
  return response;
}

}  // namespace

HttpFrontend::HttpFrontend(const base::Clock& clock, CoreThread& core,
                           const Timeline& timeline, Metrics& metrics)
    : clock_(clock),
      core_(core),
      timeline_(timeline),
      metrics_(metrics),
      last_id_{RandomIncarnation(), 0} {}

void HttpFrontend::OnRequest(transport::HttpRequest request) {
  const auto kind = KindOf(request.target);
  if (!kind) return OnReadRequest(request);
  if (request.method != "POST") {
    return Answer(
        request.token, 405,
        R"({"error":{"code":"bad_request","message":"use POST"},"ran":"not_run"})");
  }
  OnCallerRequest(request, *kind);
}

void HttpFrontend::OnCallerRequest(const transport::HttpRequest& request,
                                   RequestKind kind) {
  const base::TimePoint now = clock_.Now();
  model::CallId id;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++last_id_.counter;
    id = last_id_;
  }
  auto parsed = config::ParseCallerRequest(kind, request.body, id, now);
  if (const auto* refusal = std::get_if<Refusal>(&parsed)) {
    metrics_.OnReply(kind, *refusal, std::chrono::microseconds(0));
    return AnswerReply(request.token, *refusal);
  }
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    pending_requests_.emplace(id, PendingRequest{request.token, kind, now});
    id_by_token_.emplace(request.token, id);
  }
  if (core_.Post(std::move(std::get<model::CallerRequest>(parsed)))) return;
  // An earlier attempt of the same order may have run, so a refused order is
  // not reported as not run.
  const ExecutionStatus execution = kind == RequestKind::kOrder
                                        ? ExecutionStatus::kMayHaveRun
                                        : ExecutionStatus::kNotRun;
  Reply(id, Refusal{ErrorCode::kOverloaded, "the host is at its request limit",
                    execution, kBusyRetryAfter});
}

void HttpFrontend::OnReadRequest(const transport::HttpRequest& request) {
  const std::string_view target = request.target;
  if (target == "/healthz")
    return Answer(request.token, 200, R"({"healthy":true})");
  if (target == "/readyz") return AnswerFromCore(request.token, ReadinessOf);
  if (target == "/v1/status") return AnswerFromCore(request.token, StatusOf);
  if (target.substr(0, target.find('?')) == kTimelineTarget) {
    return AnswerTimeline(request.token, request.target);
  }
  if (target == "/metrics") {
    return AnswerFromCore(request.token, [this](const core::HostCore& core) {
      transport::HttpResponse response;
      response.content_type = kTextExposition;
      response.body = build_info::MetricLine(build_info::ThisBuild());
      AppendCoreMetrics(core, response.body);
      metrics_.AppendTo(response.body);
      return response;
    });
  }
  Answer(
      request.token, 404,
      R"({"error":{"code":"bad_request","message":"no such path"},"ran":"not_run"})");
}

void HttpFrontend::OnClientDisconnected(transport::HttpToken token) {
  model::CallId id;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = id_by_token_.find(token);
    if (found == id_by_token_.end()) return;
    id = found->second;
    id_by_token_.erase(found);
    pending_requests_.erase(id);
  }
  core_.Post(CallerDisconnected{id});
}

void HttpFrontend::Reply(const model::CallId& id,
                         const model::CallerReply& reply) {
  PendingRequest pending_request;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    auto node = pending_requests_.extract(id);
    if (node.empty()) return;
    pending_request = node.mapped();
    id_by_token_.erase(pending_request.token);
  }
  metrics_.OnReply(pending_request.kind, reply,
                   std::chrono::duration_cast<std::chrono::microseconds>(
                       clock_.Now() - pending_request.received_at));
  AnswerReply(pending_request.token, reply);
}

void HttpFrontend::AnswerReply(transport::HttpToken token,
                               const model::CallerReply& reply) {
  transport::HttpResponse response;
  response.status = static_cast<int>(config::HttpStatus(reply));
  response.body = config::EncodeCallerReply(reply);
  server_->Respond(token, std::move(response));
}

void HttpFrontend::Answer(transport::HttpToken token, int status,
                          std::string body, std::string content_type) {
  transport::HttpResponse response;
  response.status = status;
  response.content_type = std::move(content_type);
  response.body = std::move(body);
  server_->Respond(token, std::move(response));
}

void HttpFrontend::AnswerFromCore(
    transport::HttpToken token,
    std::function<transport::HttpResponse(const core::HostCore&)> read) {
  const bool posted = core_.Post(Inspect{
      [this, token, read = std::move(read)](const core::HostCore& core) {
        server_->Respond(token, read(core));
      }});
  if (!posted) Answer(token, 503, R"({"ready":false})");
}

void HttpFrontend::AnswerTimeline(transport::HttpToken token,
                                  const std::string& target) {
  // The host's name is read from the core, so that this class needs no
  // settings.
  AnswerFromCore(
      token, [this, after = ParseAfter(target)](const core::HostCore& core) {
        transport::HttpResponse response;
        response.body = config::EncodeHostTimeline(
            {core.self().host, timeline_.After(after)});
        return response;
      });
}

}  // namespace berylreach::host
