// Callers behind a balancer.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/json/object.hpp>
#include <cstdint>
#include <memory>

#include "balancer.h"
#include "figures.h"
#include "options.h"
#include "request.h"

namespace berylreach::load {

/// Starts requests at given times, repeats them as callers do and checks every
/// answer. A host gets requests only while its /readyz answers 200. Requests
/// that meet a host that is gone or does not serve go to another host; orders
/// are repeated with the same key, issue time and payload. All work runs on the
/// thread that calls Run.
class Callers {
 public:
  explicit Callers(const Options& options);

  /// Returns once all requests have ended.
  Figures Run();

 private:
  using RequestPtr = std::shared_ptr<Request>;

  void WaitForReadyHost(Clock::time_point limit);
  void SendEvery(Kind kind, double rate, Clock::time_point at);
  void StopSending();
  /// Ends the loop although polls and the timer of the duration still wait.
  void StopIfFinished();
  void Attempt(const RequestPtr& request);
  void OnReply(const RequestPtr& request, const Reply& reply);
  void ReadReply(const RequestPtr& request, const Reply& reply);
  void OnAnswer(const RequestPtr& request, const json::object& answer);
  void OnRefusal(const RequestPtr& request, const json::object& refusal);
  void Repeat(const RequestPtr& request, milliseconds delay);
  bool MayRepeat(const Request& request) const;
  void Finish(const RequestPtr& request);
  void AddFault(const Request& request, const std::string& text);

  const Options options_;
  asio::io_context io_;
  asio::signal_set signals_;
  Balancer balancer_;
  Clock::time_point end_;
  bool stopped_ = false;
  std::int64_t running_ = 0;
  Figures figures_;
};

}  // namespace berylreach::load
