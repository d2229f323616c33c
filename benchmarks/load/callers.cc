// Callers behind a balancer.
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

constexpr milliseconds kReadyWait{20000};
constexpr milliseconds kReadyPoll{10};
/// A caller waits this much longer than its deadline for the reply.
constexpr milliseconds kReplyGrace{2000};
constexpr milliseconds kLeastRepeatDelay{50};
/// Attempts of a query or lookup; orders end by Options::order_patience.
constexpr int kMaxAttempts = 6;
/// A query or lookup is given up after this many times its deadline.
constexpr int kMaxDeadlines = 5;
/// Replies "may_have_run" to one order after which no other reply is expected.
constexpr int kMaxUncertainReplies = 3;

}  // namespace

Callers::Callers(const Options& options)
    : options_(options),
      signals_(io_, SIGTERM, SIGINT),
      balancer_(io_, options.hosts) {}

Figures Callers::Run() {
  signals_.async_wait([this](Error error, int) {
    if (!error) StopSending();
  });
  balancer_.Start();
  WaitForReadyHost(Clock::now() + kReadyWait);
  io_.run();
  return std::move(figures_);
}

void Callers::WaitForReadyHost(Clock::time_point limit) {
  if (stopped_) return;
  if (!balancer_.HasReadyHost() && Clock::now() < limit) {
    RunAfter(io_, kReadyPoll, [this, limit] { WaitForReadyHost(limit); });
    return;
  }
  const auto now = Clock::now();
  end_ = now + options_.duration;
  SendEvery(Kind::kQuery, options_.queries, now);
  SendEvery(Kind::kLookup, options_.lookups, now);
  SendEvery(Kind::kOrder, options_.orders, now);
  RunAfter(io_, options_.duration, [this] { StopSending(); });
}

void Callers::StopSending() {
  stopped_ = true;
  StopIfFinished();
}

void Callers::StopIfFinished() {
  if (stopped_ && running_ == 0) io_.stop();
}

// Open loop: requests start at their times whether or not earlier ones have
// ended, so that a stall is seen by all callers of that time.
void Callers::SendEvery(Kind kind, double rate, Clock::time_point at) {
  if (rate <= 0 || stopped_ || at >= end_) return;
  RunAt(io_, at, [this, kind, rate, at] {
    if (stopped_) return;
    ++running_;
    Attempt(std::make_shared<Request>(
        MakeRequest(options_, kind, figures_.kinds[kind].started++)));
    const auto step = std::chrono::duration<double>(1 / rate);
    SendEvery(kind, rate,
              at + std::chrono::duration_cast<Clock::duration>(step));
  });
}

void Callers::Attempt(const RequestPtr& request) {
  const auto host = balancer_.Choose(*request);
  if (!host) {
    ++figures_.no_ready_host;
    Repeat(request, kLeastRepeatDelay);
    return;
  }
  request->last_host = *host;
  ++request->attempts;
  ++figures_.kinds[request->kind].attempts;
  balancer_.Post(
      *host, *request, request->deadline + kReplyGrace,
      [this, request](const Reply& reply) { OnReply(request, reply); });
}

void Callers::OnReply(const RequestPtr& request, const Reply& reply) {
  switch (reply.transfer) {
    case Transfer::kReplied:
      request->replied = true;
      ReadReply(request, reply);
      return;
    case Transfer::kNoConnection:
      ++figures_.no_connection;
      break;
    case Transfer::kCut:
      ++figures_.cut;
      break;
    case Transfer::kTimedOut:
      ++figures_.timed_out;
      break;
  }
  Repeat(request, kLeastRepeatDelay);
}

void Callers::ReadReply(const RequestPtr& request, const Reply& reply) {
  Error error;
  const json::value body = json::parse(reply.body, error);
  try {
    if (error) {
      AddFault(*request, "reply is not JSON");
      Finish(request);
    } else if (reply.status == 200) {
      OnAnswer(request, body.as_object());
    } else {
      OnRefusal(request, body.as_object());
    }
  } catch (const std::exception& exception) {
    AddFault(*request, std::string("reply has a wrong form: ") +
                           exception.what() + ": " + reply.body);
    Finish(request);
  }
}

void Callers::OnAnswer(const RequestPtr& request, const json::object& answer) {
  const std::string fault = FaultOf(answer, request->payload);
  if (!fault.empty()) AddFault(*request, fault);
  const json::array& missing = answer.at("coverage").at("missing").as_array();
  for (const json::value& item : missing)
    ++figures_.missing[std::string(item.at("reason").as_string())];
  KindFigures& figures = figures_.kinds[request->kind];
  ++(missing.empty() ? figures.whole : figures.partial);
  request->answered = true;
  request->whole = missing.empty();
  request->last_ran.clear();
  Finish(request);
}

void Callers::OnRefusal(const RequestPtr& request,
                        const json::object& refusal) {
  const std::string code(refusal.at("error").at("code").as_string());
  const auto after =
      milliseconds(refusal.at("retry_after_ms").to_number<std::int64_t>());
  request->last_ran = std::string(refusal.at("ran").as_string());
  ++figures_.refusals[NameOf(request->kind)][code + "/" + request->last_ran];
  if (request->last_ran == "may_have_run") ++request->uncertain_replies;
  // Only orders are repeated after a refusal that is not about the host.
  const bool repeat =
      request->kind == Kind::kOrder
          ? after.count() > 0 && request->last_ran != "ran" &&
                request->uncertain_replies < kMaxUncertainReplies
          : code == "not_serving";
  if (repeat) return Repeat(request, std::max(after, kLeastRepeatDelay));
  Finish(request);
}

bool Callers::MayRepeat(const Request& request) const {
  const auto age = Clock::now() - request.started;
  if (request.kind == Kind::kOrder) return age < options_.order_patience;
  return request.attempts < kMaxAttempts &&
         age < request.deadline * kMaxDeadlines;
}

void Callers::Repeat(const RequestPtr& request, milliseconds delay) {
  if (!MayRepeat(*request)) return Finish(request);
  // A query that met a host that is gone goes to another one at once.
  const bool wait = request->kind == Kind::kOrder || request->attempts > 1 ||
                    request->attempts == 0;
  RunAfter(io_, wait ? delay : milliseconds(0),
           [this, request] { Attempt(request); });
}

void Callers::Finish(const RequestPtr& request) {
  KindFigures& figures = figures_.kinds[request->kind];
  const std::chrono::duration<double, std::milli> time =
      Clock::now() - request->started;
  Second& second = figures_.seconds[request->started_unix_ms / 1000];
  ++second.requests;
  if (!request->whole) ++second.not_whole;
  second.max_latency_ms = std::max(second.max_latency_ms, time.count());
  if (request->answered) figures.latencies_ms.push_back(time.count());
  if (!request->answered)
    ++(request->replied ? figures.refused : figures.without_reply);
  if (request->kind == Kind::kOrder)
    figures_.orders.push_back(
        {request->key, request->answered, request->last_ran});
  --running_;
  StopIfFinished();
}

void Callers::AddFault(const Request& request, const std::string& text) {
  ++figures_.wrong_answers;
  if (figures_.examples.size() < kMaxExamples)
    figures_.examples.push_back(
        {{"request", json::parse(request.body)}, {"fault", text}});
}

}  // namespace berylreach::load
