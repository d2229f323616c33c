// HTTP interface of a host for callers, operators and load balancers.
#pragma once

#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <unordered_map>

#include "berylreach/base/clock.h"
#include "berylreach/host/core_thread.h"
#include "berylreach/host/metrics.h"
#include "berylreach/host/timeline.h"
#include "berylreach/model/call_id.h"
#include "berylreach/model/caller_reply.h"
#include "berylreach/transport/http_handler.h"
#include "berylreach/transport/http_server.h"

namespace berylreach::host {

/// Routes HTTP requests: posts caller requests to the core thread, and answers
/// requests for status, metrics and the timeline from the state of the core and
/// of the Timeline. Thread-safe.
class HttpFrontend final : public transport::HttpHandler {
 public:
  /// All arguments must outlive this object.
  HttpFrontend(const base::Clock& clock, CoreThread& core,
               const Timeline& timeline, Metrics& metrics);

  /// Sets the server that sends the responses. Must be called once, before the
  /// first request. `server` must stay valid until no more requests arrive and
  /// the core thread has quit, since that thread sends responses, too.
  void Attach(transport::HttpServer& server) { server_ = &server; }

  void OnRequest(transport::HttpRequest request) override;
  void OnClientDisconnected(transport::HttpToken token) override;

  /// Sends `reply` to the caller of request `id`, unless the caller has
  /// disconnected.
  void Reply(const model::CallId& id, const model::CallerReply& reply);

 private:
  /// A caller request that waits for its reply.
  struct PendingRequest {
    transport::HttpToken token;
    model::RequestKind kind = model::RequestKind::kQuery;
    base::TimePoint received_at;
  };

  void OnCallerRequest(const transport::HttpRequest& request,
                       model::RequestKind kind);
  /// Answers a request of an operator or load balancer, which reads status,
  /// metrics or the timeline.
  void OnReadRequest(const transport::HttpRequest& request);
  void Answer(transport::HttpToken token, int status, std::string body,
              std::string content_type = "application/json");
  /// Encodes `reply` and sends it as the response to the request of `token`.
  void AnswerReply(transport::HttpToken token, const model::CallerReply& reply);
  /// Answers with the result of `read`, which is called on the core thread, or
  /// with status 503 if the core thread's channel is full.
  void AnswerFromCore(
      transport::HttpToken token,
      std::function<transport::HttpResponse(const core::HostCore&)> read);
  /// Answers with the timeline events after the number that `target`, the
  /// request target, gives as `after` (default 0).
  void AnswerTimeline(transport::HttpToken token, const std::string& target);

  const base::Clock& clock_;
  CoreThread& core_;
  const Timeline& timeline_;
  Metrics& metrics_;
  transport::HttpServer* server_ = nullptr;
  /// Guards the members below.
  std::mutex mutex_;
  /// Id of the last caller request.
  model::CallId last_id_;
  std::unordered_map<model::CallId, PendingRequest> pending_requests_;
  std::map<transport::HttpToken, model::CallId> id_by_token_;
};

}  // namespace berylreach::host
