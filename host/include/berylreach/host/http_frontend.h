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

/// Routes HTTP requests: caller requests go to the core thread, status and
/// metrics requests to a read of the core's state, timeline requests to the
/// Timeline. Thread-safe.
class HttpFrontend final : public transport::HttpHandler {
 public:
  /// All arguments must outlive this object.
  HttpFrontend(const base::Clock& clock, CoreThread& core,
               const Timeline& timeline, Metrics& metrics);

  /// Sets the server that sends the responses. Must be called once, before the
  /// first request; `server` must outlive the use of this object.
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
    base::TimePoint received;
  };

  void OnCallerRequest(const transport::HttpRequest& request,
                       model::RequestKind kind);
  void OnReadRequest(const transport::HttpRequest& request);
  void Answer(transport::HttpToken token, int status, std::string body,
              std::string content_type = "application/json");
  void AnswerReply(transport::HttpToken token, const model::CallerReply& reply);
  void AnswerFromCore(
      transport::HttpToken token,
      std::function<transport::HttpResponse(const core::HostCore&)> read);
  void AnswerTimeline(transport::HttpToken token, const std::string& target);

  const base::Clock& clock_;
  CoreThread& core_;
  const Timeline& timeline_;
  Metrics& metrics_;
  transport::HttpServer* server_ = nullptr;
  std::mutex mutex_;
  model::CallId last_id_;
  std::unordered_map<model::CallId, PendingRequest> pending_requests_;
  std::map<transport::HttpToken, model::CallId> id_by_token_;
};

}  // namespace berylreach::host
