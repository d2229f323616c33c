// Simulated callers that send requests through a load balancer.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/json/object.hpp>
#include <cstdint>
#include <memory>

#include "balancer.h"
#include "load_statistics.h"
#include "options.h"
#include "request.h"

namespace berylreach::load {

/// Starts requests at fixed rates, retries them as callers do and checks every
/// answer. A host gets requests only while its /readyz answers 200. Requests to
/// a host that cannot be reached or does not serve are retried at another host.
/// An order is retried with the same key, issue time and payload, so that hosts
/// recognize the retry. All work runs on the thread that calls Run.
class Callers {
 public:
  explicit Callers(const Options& options);

  /// Sends the load and returns once all requests have finished. After SIGTERM
  /// or SIGINT, no new requests are started.
  LoadStatistics Run();

 private:
  using RequestPtr = std::shared_ptr<Request>;

  void WaitForReadyHost(Clock::time_point limit);
  void ScheduleRequests(Kind kind, double rate, Clock::time_point at);
  void StopSending();
  /// Stops the event loop once no request is in flight; readiness polls and the
  /// duration timer would otherwise keep it running.
  void StopIfFinished();
  void SendAttempt(const RequestPtr& request);
  void OnReply(const RequestPtr& request, const Reply& reply);
  void ReadReply(const RequestPtr& request, const Reply& reply);
  void OnAnswer(const RequestPtr& request, const json::object& answer);
  void OnRefusal(const RequestPtr& request, const json::object& refusal);
  void Retry(const RequestPtr& request, milliseconds delay);
  bool MayRetry(const Request& request) const;
  void Finish(const RequestPtr& request);
  void RecordFault(const Request& request, const std::string& text);

  const Options options_;
  asio::io_context io_;
  asio::signal_set signals_;
  Balancer balancer_;
  Clock::time_point end_;
  bool stopped_ = false;
  std::int64_t in_flight_ = 0;
  LoadStatistics statistics_;
};

}  // namespace berylreach::load
