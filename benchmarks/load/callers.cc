// Simulated callers that send requests through a load balancer.
#include "callers.h"

#include <algorithm>
#include <boost/json.hpp>
#include <chrono>
#include <csignal>
#include <exception>
#include <optional>
#include <string>
#include <utility>

#include "answer_check.h"
#include "request_mix.h"
#include "timers.h"

namespace berylreach::load {
namespace {

/// Time after which requests are started even if no host is ready.
constexpr milliseconds kReadyTimeout{20000};
constexpr milliseconds kReadyPollInterval{10};
/// Time beyond the deadline for which a caller waits for the reply.
constexpr milliseconds kReplyGrace{2000};
constexpr milliseconds kMinRetryDelay{50};
/// Maximum attempts of a query or lookup; orders are limited by
/// Options::order_retry_timeout instead.
constexpr int kMaxAttempts = 6;
/// Age, in multiples of its deadline, at which a query or lookup is given up.
constexpr int kMaxAgeInDeadlines = 5;
/// Number of "may_have_run" replies after which an order is given up, as
/// further retries are not expected to resolve it.
constexpr int kMaxUncertainReplies = 3;

}  // namespace

Callers::Callers(const Options& options)
    : options_(options),
      signals_(io_, SIGTERM, SIGINT),
      balancer_(io_, options.hosts) {}

LoadStatistics Callers::Run() {
  signals_.async_wait([this](Error error, int) {
    if (!error) StopSending();
  });
  balancer_.Start();
  WaitForReadyHost(Clock::now() + kReadyTimeout);
  io_.run();
  return std::move(statistics_);
}

void Callers::WaitForReadyHost(Clock::time_point limit) {
  if (stopped_) return;
  if (!balancer_.HasReadyHost() && Clock::now() < limit) {
    RunAfter(io_, kReadyPollInterval,
             [this, limit] { WaitForReadyHost(limit); });
    return;
  }
  const auto now = Clock::now();
  end_ = now + options_.duration;
  ScheduleRequests(Kind::kQuery, options_.queries, now);
  ScheduleRequests(Kind::kLookup, options_.lookups, now);
  ScheduleRequests(Kind::kOrder, options_.orders, now);
  RunAfter(io_, options_.duration, [this] { StopSending(); });
}

void Callers::StopSending() {
  stopped_ = true;
  StopIfFinished();
}

void Callers::StopIfFinished() {
  if (stopped_ && in_flight_ == 0) io_.stop();
}

// Open-loop load: requests start on schedule whether or not earlier ones have
// finished, so that a stall also counts in the latencies of requests that start
// during it.
void Callers::ScheduleRequests(Kind kind, double rate, Clock::time_point at) {
  if (rate <= 0 || stopped_ || at >= end_) return;
  RunAt(io_, at, [this, kind, rate, at] {
    if (stopped_) return;
    ++in_flight_;
    SendAttempt(std::make_shared<Request>(
        MakeRequest(options_, kind, statistics_.kinds[kind].started++)));
    const auto step = std::chrono::duration<double>(1 / rate);
    ScheduleRequests(kind, rate,
                     at + std::chrono::duration_cast<Clock::duration>(step));
  });
}

void Callers::SendAttempt(const RequestPtr& request) {
  const auto host = balancer_.ChooseHost(*request);
  if (!host) {
    ++statistics_.no_ready_host;
    Retry(request, kMinRetryDelay);
    return;
  }
  request->last_host = *host;
  ++request->attempts;
  ++statistics_.kinds[request->kind].attempts;
  balancer_.Post(
      *host, *request, request->deadline + kReplyGrace,
      [this, request](const Reply& reply) { OnReply(request, reply); });
}

void Callers::OnReply(const RequestPtr& request, const Reply& reply) {
  switch (reply.outcome) {
    case ExchangeOutcome::kReplied:
      request->replied = true;
      ReadReply(request, reply);
      return;
    case ExchangeOutcome::kNoConnection:
      ++statistics_.no_connection;
      break;
    case ExchangeOutcome::kConnectionLost:
      ++statistics_.connections_lost;
      break;
    case ExchangeOutcome::kTimedOut:
      ++statistics_.timed_out;
      break;
  }
  Retry(request, kMinRetryDelay);
}

void Callers::ReadReply(const RequestPtr& request, const Reply& reply) {
  Error error;
  const json::value body = json::parse(reply.body, error);
  try {
    if (error) {
      RecordFault(*request, "reply is not JSON");
      Finish(request);
    } else if (reply.status == 200) {
      OnAnswer(request, body.as_object());
    } else {
      OnRefusal(request, body.as_object());
    }
  } catch (const std::exception& exception) {
    RecordFault(*request, std::string("reply is malformed: ") +
                              exception.what() + ": " + reply.body);
    Finish(request);
  }
}

void Callers::OnAnswer(const RequestPtr& request, const json::object& answer) {
  const std::string fault = DescribeAnswerFault(answer, request->payload);
  if (!fault.empty()) RecordFault(*request, fault);
  const json::array& missing = answer.at("coverage").at("missing").as_array();
  for (const json::value& item : missing)
    ++statistics_.missing[std::string(item.at("reason").as_string())];
  KindStatistics& statistics = statistics_.kinds[request->kind];
  ++(missing.empty() ? statistics.whole : statistics.partial);
  request->answered = true;
  request->whole = missing.empty();
  request->last_execution.clear();
  Finish(request);
}

void Callers::OnRefusal(const RequestPtr& request,
                        const json::object& refusal) {
  const std::string code(refusal.at("error").at("code").as_string());
  const auto retry_after =
      milliseconds(refusal.at("retry_after_ms").to_number<std::int64_t>());
  request->last_execution = std::string(refusal.at("ran").as_string());
  ++statistics_
        .refusals[NameOf(request->kind)][code + "/" + request->last_execution];
  if (request->last_execution == "may_have_run") ++request->uncertain_replies;
  // Queries and lookups are retried only if the host was not serving. Orders
  // are retried after any refusal with a retry time, unless they ran or too
  // many replies left their execution uncertain.
  const bool retry = request->kind == Kind::kOrder
                         ? retry_after.count() > 0 &&
                               request->last_execution != "ran" &&
                               request->uncertain_replies < kMaxUncertainReplies
                         : code == "not_serving";
  if (retry) return Retry(request, std::max(retry_after, kMinRetryDelay));
  Finish(request);
}

bool Callers::MayRetry(const Request& request) const {
  const auto age = Clock::now() - request.started;
  if (request.kind == Kind::kOrder) return age < options_.order_retry_timeout;
  return request.attempts < kMaxAttempts &&
         age < request.deadline * kMaxAgeInDeadlines;
}

void Callers::Retry(const RequestPtr& request, milliseconds delay) {
  if (!MayRetry(*request)) return Finish(request);
  // The first retry of a query or lookup is sent at once, because it goes to
  // another host. A request that found no ready host waits.
  const bool wait = request->kind == Kind::kOrder || request->attempts > 1 ||
                    request->attempts == 0;
  RunAfter(io_, wait ? delay : milliseconds(0),
           [this, request] { SendAttempt(request); });
}

void Callers::Finish(const RequestPtr& request) {
  KindStatistics& statistics = statistics_.kinds[request->kind];
  const std::chrono::duration<double, std::milli> time =
      Clock::now() - request->started;
  SecondStatistics& second =
      statistics_.seconds[request->started_unix_ms / 1000];
  ++second.requests;
  if (!request->whole) ++second.not_whole;
  second.max_latency_ms = std::max(second.max_latency_ms, time.count());
  if (request->answered) statistics.latencies_ms.push_back(time.count());
  if (!request->answered)
    ++(request->replied ? statistics.refused : statistics.without_reply);
  if (request->kind == Kind::kOrder)
    statistics_.orders.push_back(
        {request->key, request->answered, request->last_execution});
  --in_flight_;
  StopIfFinished();
}

void Callers::RecordFault(const Request& request, const std::string& text) {
  ++statistics_.wrong_answers;
  if (statistics_.examples.size() < kMaxFaultExamples)
    statistics_.examples.push_back(
        {{"request", json::parse(request.body)}, {"fault", text}});
}

}  // namespace berylreach::load
