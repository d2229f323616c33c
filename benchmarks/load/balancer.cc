// Load balancer of the simulated callers.
#include "balancer.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <utility>

#include "timers.h"

namespace berylreach::load {
namespace {

constexpr milliseconds kReadinessInterval{500};
constexpr milliseconds kReadinessTimeout{400};
constexpr std::size_t kMaxIdleConnections = 64;

}  // namespace

Balancer::Balancer(asio::io_context& io,
                   const std::vector<std::string>& addresses)
    : io_(io) {
  for (const std::string& address : addresses) {
    hosts_.emplace_back();
    hosts_.back().address = address;
  }
}

void Balancer::Start() {
  for (std::size_t host = 0; host < hosts_.size(); ++host) PollReadiness(host);
}

void Balancer::PollReadiness(std::size_t host) {
  const auto next = Clock::now() + kReadinessInterval;
  auto exchange = std::make_shared<Exchange>(
      io_, [this, host, next](const Reply& reply,
                              const std::optional<tcp::socket>&) {
        hosts_[host].ready =
            reply.outcome == ExchangeOutcome::kReplied && reply.status == 200;
        RunAt(io_, next, [this, host] { PollReadiness(host); });
      });
  exchange->Start(hosts_[host].address, std::nullopt, http::verb::get,
                  "/readyz", "", kReadinessTimeout);
}

bool Balancer::HasReadyHost() const {
  return std::any_of(hosts_.begin(), hosts_.end(),
                     [](const Host& host) { return host.ready; });
}

std::optional<std::size_t> Balancer::ChooseHost(const Request& request) {
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    next_host_ = (next_host_ + 1) % hosts_.size();
    const bool again = request.attempts > 0 && next_host_ == request.last_host;
    if (hosts_[next_host_].ready && !again) return next_host_;
  }
  if (request.attempts > 0 && hosts_[request.last_host].ready)
    return request.last_host;
  return std::nullopt;
}

void Balancer::Post(std::size_t host, const Request& request,
                    milliseconds limit, std::function<void(Reply)> done) {
  auto exchange = std::make_shared<Exchange>(
      io_, [this, host, done = std::move(done)](
               Reply reply, std::optional<tcp::socket> socket) {
        ReturnConnection(hosts_[host], std::move(socket), reply.outcome);
        done(std::move(reply));
      });
  exchange->Start(hosts_[host].address, TakeIdleConnection(hosts_[host]),
                  http::verb::post, std::string("/v1/") + NameOf(request.kind),
                  request.body, limit);
}

std::optional<tcp::socket> Balancer::TakeIdleConnection(Host& host) {
  while (!host.idle_connections.empty()) {
    tcp::socket socket = std::move(host.idle_connections.back());
    host.idle_connections.pop_back();
    if (!IsStale(socket)) return socket;
  }
  return std::nullopt;
}

void Balancer::ReturnConnection(Host& host, std::optional<tcp::socket> socket,
                                ExchangeOutcome outcome) {
  if (socket && host.idle_connections.size() < kMaxIdleConnections)
    host.idle_connections.push_back(std::move(*socket));
  if (outcome == ExchangeOutcome::kReplied) return;
  host.ready = false;
  host.idle_connections.clear();
}

}  // namespace berylreach::load
