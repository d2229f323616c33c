// berylreach-load: sends queries, lookups and orders to hosts like callers
// behind a balancer, checks every answer and prints one JSON object.
//
// All work runs on one thread. A host gets requests only while its /readyz
// answers 200. Requests that meet a host that is gone or does not serve go to
// another host; orders are repeated with the same key, issue time and payload.
#include <gflags/gflags.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <exception>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "exchange.h"
#include "figures.h"

DEFINE_string(hosts, "", "comma-separated HTTP addresses of the hosts");
DEFINE_double(seconds, 5, "time in which requests are started");
DEFINE_double(queries, 40, "queries per second");
DEFINE_double(lookups, 40, "lookups per second");
DEFINE_double(orders, 0, "orders per second");
DEFINE_string(query_service, "order-desk", "service that gets the queries");
DEFINE_string(lookup_service, "buckle-screen", "service that gets the lookups");
DEFINE_string(order_service, "hide-ledger", "service that gets the orders");
DEFINE_int32(deadline_ms, 1000, "deadline of queries and lookups");
DEFINE_int32(order_deadline_ms, 1000, "deadline of orders");
DEFINE_int32(payloads, 64,
             "distinct payloads of queries and keys of lookups; each new one "
             "runs as a canary first");
DEFINE_string(key_prefix, "load", "start of all order keys");
DEFINE_double(order_patience, 20,
              "seconds after which an order is no longer repeated");
DEFINE_bool(
    verify_orders, false,
    "compare the answers to orders with the runs that the leaves count");
DEFINE_string(
    leaves, "",
    "comma-separated addresses of the leaf stand-ins that run orders");

namespace berylreach::load {
namespace {

constexpr milliseconds kReadinessInterval{500};
constexpr milliseconds kReadinessTimeout{400};
/// A caller waits this much longer than its deadline for the reply.
constexpr milliseconds kReplyGrace{2000};
constexpr milliseconds kControlTimeout{10000};
constexpr milliseconds kLeastRepeatDelay{50};
/// Attempts of a query or lookup; orders end by --order_patience.
constexpr int kMaxAttempts = 6;
/// Replies "may_have_run" to one order after which no other reply is expected.
constexpr int kMaxUncertainReplies = 3;
constexpr std::size_t kMaxIdleConnections = 64;
constexpr std::size_t kMaxExamples = 10;

milliseconds Milliseconds(double seconds) {
  return milliseconds(static_cast<std::int64_t>(seconds * 1000));
}

std::int64_t UnixMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::vector<std::string> Split(const std::string& list) {
  std::vector<std::string> items;
  std::stringstream stream(list);
  for (std::string item; std::getline(stream, item, ',');)
    if (!item.empty()) items.push_back(item);
  return items;
}

/// A host as the balancer sees it.
struct Host {
  std::string address;
  bool ready = false;
  std::vector<tcp::socket> idle;
};

class Load {
 public:
  Load() : signals_(io_, SIGTERM, SIGINT) {
    for (const std::string& address : Split(FLAGS_hosts)) {
      hosts_.emplace_back();
      hosts_.back().address = address;
    }
  }

  int Run() {
    if (hosts_.empty()) {
      std::cerr << "berylreach-load: --hosts is empty\n";
      return 2;
    }
    signals_.async_wait([this](Error error, int) {
      if (!error) StopSending();
    });
    for (std::size_t host = 0; host < hosts_.size(); ++host) PollReady(host);
    WaitForReadyHost(Clock::now() + milliseconds(20000));
    io_.run();
    if (FLAGS_verify_orders) VerifyOrders();
    std::cout << json::serialize(Summary()) << std::endl;
    return 0;
  }

 private:
  void After(milliseconds delay, std::function<void()> action) {
    auto timer = std::make_shared<asio::steady_timer>(io_, delay);
    timer->async_wait([timer, action = std::move(action)](Error) { action(); });
  }

  void PollReady(std::size_t host) {
    const auto next = Clock::now() + kReadinessInterval;
    auto exchange = std::make_shared<Exchange>(
        io_, [this, host, next](Reply reply, std::optional<tcp::socket>) {
          hosts_[host].ready =
              reply.transfer == Transfer::kReplied && reply.status == 200;
          After(std::chrono::duration_cast<milliseconds>(next - Clock::now()),
                [this, host] { PollReady(host); });
        });
    exchange->Start(hosts_[host].address, std::nullopt, http::verb::get,
                    "/readyz", "", kReadinessTimeout);
  }

  void WaitForReadyHost(Clock::time_point limit) {
    const bool ready = std::any_of(hosts_.begin(), hosts_.end(),
                                   [](const Host& host) { return host.ready; });
    if (stopped_) return;
    if (!ready && Clock::now() < limit) {
      After(milliseconds(10), [this, limit] { WaitForReadyHost(limit); });
      return;
    }
    const auto now = Clock::now();
    end_ = now + Milliseconds(FLAGS_seconds);
    SendEvery(Kind::kQuery, FLAGS_queries, now);
    SendEvery(Kind::kLookup, FLAGS_lookups, now);
    SendEvery(Kind::kOrder, FLAGS_orders, now);
    After(Milliseconds(FLAGS_seconds), [this] { StopSending(); });
  }

  void StopSending() {
    stopped_ = true;
    StopIfFinished();
  }

  /// Ends the loop although polls and the timer of --seconds still wait.
  void StopIfFinished() {
    if (finished()) io_.stop();
  }

  bool finished() const { return stopped_ && running_ == 0; }

  /// Open loop: requests start at their times whether or not earlier ones have
  /// ended, so that a stall is seen by all callers of that time.
  void SendEvery(Kind kind, double rate, Clock::time_point at) {
    if (rate <= 0 || stopped_ || at >= end_) return;
    auto timer = std::make_shared<asio::steady_timer>(io_, at);
    timer->async_wait([this, timer, kind, rate, at](Error) {
      if (stopped_) return;
      StartRequest(kind);
      const auto step = std::chrono::duration<double>(1 / rate);
      SendEvery(kind, rate,
                at + std::chrono::duration_cast<Clock::duration>(step));
    });
  }

  void StartRequest(Kind kind) {
    auto request = std::make_shared<Request>();
    const std::int64_t number = figures_[kind].started++;
    request->kind = kind;
    request->started = Clock::now();
    request->started_unix_ms = UnixMs();
    const std::string part = std::to_string(number % FLAGS_payloads);
    json::object body{{"deadline_ms", kind == Kind::kOrder
                                          ? FLAGS_order_deadline_ms
                                          : FLAGS_deadline_ms}};
    if (kind == Kind::kQuery) {
      request->payload = {{"hide_batch", "H-" + part}};
      body["service"] = FLAGS_query_service;
      body["payload"] = request->payload;
    } else if (kind == Kind::kLookup) {
      request->payload = json::string("order-" + part);
      body["service"] = FLAGS_lookup_service;
      body["key"] = request->payload;
    } else {
      request->key = FLAGS_key_prefix + "-" + std::to_string(number);
      request->payload = {{"cut", request->key}};
      body["service"] = FLAGS_order_service;
      body["key"] = request->key;
      body["issued_at_ms"] = UnixMs();
      body["payload"] = request->payload;
    }
    request->body = json::serialize(body);
    ++running_;
    Attempt(request);
  }

  /// The next ready host, another one than that of the last attempt if there
  /// is one.
  std::optional<std::size_t> ChooseHost(const Request& request) {
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      next_host_ = (next_host_ + 1) % hosts_.size();
      const bool again =
          request.attempts > 0 && next_host_ == request.last_host;
      if (hosts_[next_host_].ready && !again) return next_host_;
    }
    if (request.attempts > 0 && hosts_[request.last_host].ready)
      return request.last_host;
    return std::nullopt;
  }

  void Attempt(const std::shared_ptr<Request>& request) {
    const auto host = ChooseHost(*request);
    if (!host) {
      ++no_ready_host_;
      Repeat(request, kLeastRepeatDelay);
      return;
    }
    request->last_host = *host;
    ++request->attempts;
    ++figures_[request->kind].attempts;
    auto exchange = std::make_shared<Exchange>(
        io_,
        [this, request, host](Reply reply, std::optional<tcp::socket> socket) {
          if (socket && hosts_[*host].idle.size() < kMaxIdleConnections)
            hosts_[*host].idle.push_back(std::move(*socket));
          OnReply(request, *host, std::move(reply));
        });
    const int deadline_ms = request->kind == Kind::kOrder
                                ? FLAGS_order_deadline_ms
                                : FLAGS_deadline_ms;
    exchange->Start(hosts_[*host].address, TakeIdle(hosts_[*host]),
                    http::verb::post,
                    std::string("/v1/") + NameOf(request->kind), request->body,
                    milliseconds(deadline_ms) + kReplyGrace);
  }

  static std::optional<tcp::socket> TakeIdle(Host& host) {
    while (!host.idle.empty()) {
      tcp::socket socket = std::move(host.idle.back());
      host.idle.pop_back();
      if (!IsStale(socket)) return socket;
    }
    return std::nullopt;
  }

  void OnReply(const std::shared_ptr<Request>& request, std::size_t host,
               Reply reply) {
    if (reply.transfer == Transfer::kReplied) {
      request->replied = true;
      ReadReply(request, reply);
      return;
    }
    hosts_[host].ready = false;
    hosts_[host].idle.clear();
    if (reply.transfer == Transfer::kNoConnection) {
      ++no_connection_;
    } else if (reply.transfer == Transfer::kCut) {
      ++cut_;
    } else {
      ++timed_out_;
    }
    Repeat(request, kLeastRepeatDelay);
  }

  void ReadReply(const std::shared_ptr<Request>& request, const Reply& reply) {
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

  void OnAnswer(const std::shared_ptr<Request>& request,
                const json::object& answer) {
    const std::string fault = FaultOf(answer, request->payload);
    if (!fault.empty()) AddFault(*request, fault);
    const json::array& missing = answer.at("coverage").at("missing").as_array();
    for (const json::value& item : missing)
      ++missing_[std::string(item.at("reason").as_string())];
    KindFigures& figures = figures_[request->kind];
    ++(missing.empty() ? figures.whole : figures.partial);
    request->answered = true;
    request->whole = missing.empty();
    request->last_ran.clear();
    Finish(request);
  }

  void OnRefusal(const std::shared_ptr<Request>& request,
                 const json::object& refusal) {
    const std::string code(refusal.at("error").at("code").as_string());
    const auto after =
        milliseconds(refusal.at("retry_after_ms").to_number<std::int64_t>());
    request->last_ran = std::string(refusal.at("ran").as_string());
    ++refusals_[NameOf(request->kind)][code + "/" + request->last_ran];
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

  void Repeat(const std::shared_ptr<Request>& request, milliseconds delay) {
    const auto age = Clock::now() - request->started;
    const bool last = request->kind == Kind::kOrder
                          ? age >= Milliseconds(FLAGS_order_patience)
                          : request->attempts >= kMaxAttempts ||
                                age >= milliseconds(FLAGS_deadline_ms) * 5;
    if (last) return Finish(request);
    // A query that met a host that is gone goes to another one at once.
    const bool wait = request->kind == Kind::kOrder || request->attempts > 1 ||
                      request->attempts == 0;
    After(wait ? delay : milliseconds(0),
          [this, request] { Attempt(request); });
  }

  void Finish(const std::shared_ptr<Request>& request) {
    KindFigures& figures = figures_[request->kind];
    const std::chrono::duration<double, std::milli> time =
        Clock::now() - request->started;
    Second& second = seconds_[request->started_unix_ms / 1000];
    ++second.requests;
    if (!request->whole) ++second.not_whole;
    second.max_latency_ms = std::max(second.max_latency_ms, time.count());
    if (request->answered) figures.latencies_ms.push_back(time.count());
    if (!request->answered)
      ++(request->replied ? figures.refused : figures.without_reply);
    if (request->kind == Kind::kOrder)
      orders_.push_back({request->key, request->answered, request->last_ran});
    --running_;
    StopIfFinished();
  }

  void AddFault(const Request& request, const std::string& text) {
    ++wrong_answers_;
    if (examples_.size() < kMaxExamples)
      examples_.push_back(
          {{"request", json::parse(request.body)}, {"fault", text}});
  }

  /// Compares what callers were told with the runs that the leaves count.
  void VerifyOrders() {
    std::map<std::string, std::int64_t> runs;
    asio::io_context io;
    for (const std::string& leaf : Split(FLAGS_leaves)) {
      auto exchange = std::make_shared<Exchange>(
          io, [this, leaf, &runs](Reply reply, std::optional<tcp::socket>) {
            AddRuns(leaf, reply, runs);
          });
      exchange->Start(leaf, std::nullopt, http::verb::get, "/control", "",
                      kControlTimeout);
    }
    io.run();
    for (const OrderResult& order : orders_) Verify(order, runs[order.key]);
  }

  void AddRuns(const std::string& leaf, const Reply& reply,
               std::map<std::string, std::int64_t>& runs) {
    Error error;
    const json::value body = json::parse(reply.body, error);
    if (reply.transfer != Transfer::kReplied || error) {
      unread_leaves_.push_back(json::value(leaf));
      return;
    }
    for (const auto& [key, count] : body.at("orders").as_object())
      runs[std::string(key)] += count.to_number<std::int64_t>();
  }

  void Verify(const OrderResult& order, std::int64_t runs) {
    const auto add = [&](std::int64_t& count, const char* text) {
      ++count;
      if (examples_.size() < kMaxExamples)
        examples_.push_back({{"key", order.key},
                             {"fault", text},
                             {"runs", runs},
                             {"last_ran", order.last_ran}});
    };
    if (runs > 0) ++orders_run_;
    if (runs > 1) add(run_twice_, "order ran more than once");
    if (order.last_ran == "not_run" && runs > 0)
      add(false_not_run_, "order is said not to have run and ran");
    if ((order.answered || order.last_ran == "ran") && runs == 0)
      add(false_ran_, "order is said to have run and did not");
  }

  json::object Summary() const {
    json::object summary;
    for (const Kind kind : kKinds) summary[NameOf(kind)] = SummaryOf(kind);
    json::object refusals;
    for (const auto& [kind, codes] : refusals_) {
      json::object counts;
      for (const auto& [code, count] : codes) counts[code] = count;
      refusals[kind] = std::move(counts);
    }
    json::object missing;
    for (const auto& [reason, count] : missing_) missing[reason] = count;
    summary["refusals"] = std::move(refusals);
    summary["missing"] = std::move(missing);
    summary["cut"] = cut_;
    summary["timed_out"] = timed_out_;
    summary["no_connection"] = no_connection_;
    summary["no_ready_host"] = no_ready_host_;
    summary["wrong_answers"] = wrong_answers_;
    if (FLAGS_verify_orders)
      summary["orders_verified"] = {
          {"orders", orders_.size()}, {"run", orders_run_},
          {"run_twice", run_twice_},  {"false_not_run", false_not_run_},
          {"false_ran", false_ran_},  {"unread_leaves", unread_leaves_}};
    json::array seconds;
    for (const auto& [unix_s, second] : seconds_)
      seconds.push_back({{"unix_s", unix_s},
                         {"requests", second.requests},
                         {"not_whole", second.not_whole},
                         {"max_latency_ms", second.max_latency_ms}});
    summary["seconds"] = std::move(seconds);
    summary["examples"] = examples_;
    return summary;
  }

  json::object SummaryOf(Kind kind) const {
    const auto found = figures_.find(kind);
    const KindFigures figures =
        found == figures_.end() ? KindFigures{} : found->second;
    return {{"started", figures.started},
            {"whole", figures.whole},
            {"partial", figures.partial},
            {"refused", figures.refused},
            {"without_reply", figures.without_reply},
            {"attempts", figures.attempts},
            {"latency_ms", QuantilesOf(figures.latencies_ms)}};
  }

  asio::io_context io_;
  asio::signal_set signals_;
  std::vector<Host> hosts_;
  std::size_t next_host_ = 0;
  Clock::time_point end_;
  bool stopped_ = false;
  std::int64_t running_ = 0;
  std::map<Kind, KindFigures> figures_;
  std::map<std::string, std::map<std::string, std::int64_t>> refusals_;
  std::map<std::string, std::int64_t> missing_;
  /// By Unix time in seconds.
  std::map<std::int64_t, Second> seconds_;
  std::vector<OrderResult> orders_;
  std::int64_t cut_ = 0;
  std::int64_t timed_out_ = 0;
  std::int64_t no_connection_ = 0;
  std::int64_t no_ready_host_ = 0;
  std::int64_t wrong_answers_ = 0;
  std::int64_t orders_run_ = 0;
  std::int64_t run_twice_ = 0;
  std::int64_t false_not_run_ = 0;
  std::int64_t false_ran_ = 0;
  json::array unread_leaves_;
  json::array examples_;
};

}  // namespace
}  // namespace berylreach::load

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  try {
    return berylreach::load::Load().Run();
  } catch (const std::exception& exception) {
    std::fprintf(stderr, "berylreach-load: %s\n", exception.what());
    return 2;
  }
}
