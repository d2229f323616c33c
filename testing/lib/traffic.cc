// Background traffic for tests.
#include "berylreach/testing/traffic.h"

#include <utility>
#include <variant>

namespace berylreach::testing {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kDeadline{800};
constexpr int kMaxAttempts = 6;
// Number of distinct payloads: few, so that most requests are proven, but some
// are not.
constexpr std::uint64_t kDistinctPayloads = 20;

}  // namespace

void Traffic::Start(milliseconds interval) {
  interval_ = interval;
  running_ = true;
  Send();
}

void Traffic::Send() {
  if (!running_) return;
  SendOneOfEachKind(RandomHost());
  RepeatOrders();
  world_.After(interval_, [this] { Send(); });
}

void Traffic::SendOneOfEachKind(const std::string& host) {
  if (host.empty()) return;
  const std::string number = std::to_string(++sent_);
  model::CallerRequest query;
  query.kind = model::RequestKind::kQuery;
  query.service = {"order-desk"};
  query.payload = "\"batch " +
                  std::to_string(world_.random().Below(kDistinctPayloads)) +
                  "\"";
  world_.SendRequest(host, query, kDeadline);
  model::CallerRequest lookup;
  lookup.kind = model::RequestKind::kLookup;
  lookup.service = {"buckle-screen"};
  lookup.key =
      "buckle " + std::to_string(world_.random().Below(kDistinctPayloads));
  lookup.payload = "\"" + lookup.key + "\"";
  world_.SendRequest(host, lookup, kDeadline);
  model::CallerRequest order;
  order.kind = model::RequestKind::kOrder;
  order.service = {"hide-ledger"};
  order.key = "order " + number;
  order.payload = "\"cut " + number + "\"";
  order.issued_at = world_.WallNow();
  SendOrder(host, order);
}

void Traffic::SendOrder(const std::string& host,
                        const model::CallerRequest& request) {
  open_orders_.push_back({world_.SendRequest(host, request, kDeadline), 1});
}

void Traffic::RepeatOrders() {
  std::vector<OpenOrder> still_open;
  for (const OpenOrder& order : std::exchange(open_orders_, {})) {
    const CallerRecord& record = world_.records()[order.record];
    const bool answered =
        record.reply && std::holds_alternative<model::Answer>(*record.reply);
    if (answered || order.attempts >= kMaxAttempts) continue;
    // A caller may also send a request again while the first one still runs,
    // for example after its own timeout.
    const bool retries_early = world_.random().Chance(0.1);
    const std::string host = RandomHost();
    const bool repeat = record.reply || record.host_lost || retries_early;
    if (!repeat || host.empty()) {
      still_open.push_back(order);
      continue;
    }
    still_open.push_back({world_.SendRequest(host, record.request, kDeadline),
                          order.attempts + 1});
  }
  open_orders_.insert(open_orders_.end(), still_open.begin(), still_open.end());
}

std::string Traffic::RandomHost() {
  // Prefer hosts that are ready, as the load balancer does.
  std::vector<std::string> ready;
  const auto running = world_.RunningHosts();
  for (const std::string& host : running) {
    if (world_.Ready(host)) ready.push_back(host);
  }
  const auto& hosts = ready.empty() ? running : ready;
  return hosts.empty() ? std::string()
                       : hosts[world_.random().Below(hosts.size())];
}

}  // namespace berylreach::testing
