// Comparison of the answers to orders with the executions that leaves count.
#include "order_check.h"

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <map>
#include <memory>
#include <optional>

#include "exchange.h"

namespace berylreach::load {
namespace {

constexpr milliseconds kControlTimeout{10000};

/// Number of executions by order key.
using RunCounts = std::map<std::string, std::int64_t>;

void AddRunCounts(const std::string& leaf, const Reply& reply, RunCounts& runs,
                  json::array& unread_leaves) {
  Error error;
  const json::value body = json::parse(reply.body, error);
  if (reply.outcome != ExchangeOutcome::kReplied || error) {
    unread_leaves.push_back(json::value(leaf));
    return;
  }
  for (const auto& [key, count] : body.at("orders").as_object())
    runs[std::string(key)] += count.to_number<std::int64_t>();
}

RunCounts ReadRunCounts(const std::vector<std::string>& leaves,
                        json::array& unread_leaves) {
  RunCounts runs;
  asio::io_context io;
  for (const std::string& leaf : leaves) {
    auto exchange = std::make_shared<Exchange>(
        io, [&, leaf](const Reply& reply, const std::optional<tcp::socket>&) {
          AddRunCounts(leaf, reply, runs, unread_leaves);
        });
    exchange->Start(leaf, std::nullopt, http::verb::get, "/control", "",
                    kControlTimeout);
  }
  io.run();
  return runs;
}

void CheckOrder(const OrderResult& order, std::int64_t runs, OrderCheck& check,
                json::array& examples) {
  const auto add_fault = [&](std::int64_t& count, const char* text) {
    ++count;
    if (examples.size() < kMaxFaultExamples)
      examples.push_back({{"key", order.key},
                          {"fault", text},
                          {"runs", runs},
                          {"last_ran", order.last_execution}});
  };
  if (runs > 0) ++check.run;
  if (runs > 1) add_fault(check.run_twice, "order ran more than once");
  if (order.last_execution == "not_run" && runs > 0)
    add_fault(check.false_not_run, "order was reported as not run but ran");
  if ((order.answered || order.last_execution == "ran") && runs == 0)
    add_fault(check.false_ran, "order was reported as run but did not run");
}

}  // namespace

OrderCheck CheckOrders(const std::vector<std::string>& leaves,
                       LoadStatistics& statistics) {
  OrderCheck check;
  RunCounts runs = ReadRunCounts(leaves, check.unread_leaves);
  for (const OrderResult& order : statistics.orders)
    CheckOrder(order, runs[order.key], check, statistics.examples);
  return check;
}

}  // namespace berylreach::load
