// Requests, their figures and the check of answers.
#pragma once

#include <algorithm>
#include <boost/json.hpp>
#include <chrono>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace berylreach::load {

namespace json = boost::json;
using Clock = std::chrono::steady_clock;

enum class Kind { kQuery, kLookup, kOrder };
constexpr Kind kKinds[] = {Kind::kQuery, Kind::kLookup, Kind::kOrder};

inline const char* NameOf(Kind kind) {
  if (kind == Kind::kQuery) return "query";
  return kind == Kind::kLookup ? "lookup" : "order";
}

/// One request of a caller, over all its attempts.
struct Request {
  Kind kind = Kind::kQuery;
  std::string body;
  json::value payload;
  std::string key;
  Clock::time_point started;
  std::int64_t started_unix_ms = 0;
  int attempts = 0;
  int uncertain_replies = 0;
  std::size_t last_host = 0;
  /// What the last reply said of the execution; empty without a refusal.
  std::string last_ran;
  bool answered = false;
  bool whole = false;
  bool replied = false;
};

struct KindFigures {
  std::int64_t started = 0;
  std::int64_t whole = 0;
  std::int64_t partial = 0;
  std::int64_t refused = 0;
  std::int64_t without_reply = 0;
  std::int64_t attempts = 0;
  std::vector<double> latencies_ms;
};

/// Requests that were started within one second of wall-clock time.
struct Second {
  std::int64_t requests = 0;
  std::int64_t not_whole = 0;
  double max_latency_ms = 0;
};

/// What is known of an order when it is given up or answered.
struct OrderResult {
  std::string key;
  bool answered = false;
  std::string last_ran;
};

inline json::object QuantilesOf(std::vector<double> values) {
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

/// Describes what is wrong with an answer; empty if nothing is.
inline std::string FaultOf(const json::object& answer,
                           const json::value& payload) {
  const auto& results = answer.at("results").as_array();
  const auto& coverage = answer.at("coverage").as_object();
  const auto answered = coverage.at("shards_answered").to_number<std::size_t>();
  const auto total = coverage.at("shards_total").to_number<std::size_t>();
  const auto& missing = coverage.at("missing").as_array();
  if (results.size() != answered || answered + missing.size() != total)
    return "coverage does not add up";
  std::set<std::int64_t> shards;
  for (const json::value& result : results) {
    const auto shard = result.at("shard").to_number<std::int64_t>();
    const json::object& body = result.at("result").as_object();
    shards.insert(shard);
    if (body.at("shard").to_number<std::int64_t>() != shard)
      return "result of another shard";
    if (body.at("version") != answer.at("version")) return "versions are mixed";
    if (body.at("payload") != payload) return "payload of another request";
  }
  for (const json::value& item : missing)
    shards.insert(item.at("shard").to_number<std::int64_t>());
  return shards.size() == total ? "" : "a shard is counted twice";
}

}  // namespace berylreach::load
