// The JSON object that the load generator prints.
#include "report.h"

#include <algorithm>
#include <boost/json.hpp>
#include <string>
#include <utility>
#include <vector>

namespace berylreach::load {
namespace {

json::object QuantilesOf(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  const auto at = [&](double fraction) {
    if (values.empty()) return 0.0;
    return values[static_cast<std::size_t>(
        fraction * static_cast<double>(values.size() - 1))];
  };
  return {{"p50", at(0.5)},
          {"p95", at(0.95)},
          {"p99", at(0.99)},
          {"p999", at(0.999)},
          {"max", at(1)}};
}

json::object ReportOf(const KindStatistics& statistics) {
  return {{"started", statistics.started},
          {"whole", statistics.whole},
          {"partial", statistics.partial},
          {"refused", statistics.refused},
          {"without_reply", statistics.without_reply},
          {"attempts", statistics.attempts},
          {"latency_ms", QuantilesOf(statistics.latencies_ms)}};
}

json::object ReportOf(const std::map<std::string, std::int64_t>& counts) {
  json::object report;
  for (const auto& [name, count] : counts) report[name] = count;
  return report;
}

json::array ReportOf(const std::map<std::int64_t, SecondStatistics>& seconds) {
  json::array report;
  for (const auto& [unix_s, second] : seconds)
    report.push_back({{"unix_s", unix_s},
                      {"requests", second.requests},
                      {"not_whole", second.not_whole},
                      {"max_latency_ms", second.max_latency_ms}});
  return report;
}

}  // namespace

json::object Report(const LoadStatistics& statistics,
                    const std::optional<OrderCheck>& check) {
  json::object report;
  for (const Kind kind : kAllKinds) {
    const auto found = statistics.kinds.find(kind);
    report[NameOf(kind)] = ReportOf(
        found == statistics.kinds.end() ? KindStatistics{} : found->second);
  }
  json::object refusals;
  for (const auto& [kind, codes] : statistics.refusals)
    refusals[kind] = ReportOf(codes);
  report["refusals"] = std::move(refusals);
  report["missing"] = ReportOf(statistics.missing);
  report["cut"] = statistics.connections_lost;
  report["timed_out"] = statistics.timed_out;
  report["no_connection"] = statistics.no_connection;
  report["no_ready_host"] = statistics.no_ready_host;
  report["wrong_answers"] = statistics.wrong_answers;
  if (check)
    report["orders_verified"] = {{"orders", statistics.orders.size()},
                                 {"run", check->run},
                                 {"run_twice", check->run_twice},
                                 {"false_not_run", check->false_not_run},
                                 {"false_ran", check->false_ran},
                                 {"unread_leaves", check->unread_leaves}};
  report["seconds"] = ReportOf(statistics.seconds);
  report["examples"] = statistics.examples;
  return report;
}

}  // namespace berylreach::load
