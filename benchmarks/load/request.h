// State of one request of a simulated caller.
#pragma once

#include <boost/json/value.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace berylreach::load {

namespace json = boost::json;
using Clock = std::chrono::steady_clock;

enum class Kind { kQuery, kLookup, kOrder };
constexpr Kind kAllKinds[] = {Kind::kQuery, Kind::kLookup, Kind::kOrder};

inline const char* NameOf(Kind kind) {
  if (kind == Kind::kQuery) return "query";
  return kind == Kind::kLookup ? "lookup" : "order";
}

/// One request of a caller, with the results of its attempts so far.
struct Request {
  Kind kind = Kind::kQuery;
  std::string body;
  /// Payload of a query or order, or key of a lookup, that each result echoes.
  json::value payload;
  /// Key of an order; empty for other kinds.
  std::string key;
  std::chrono::milliseconds deadline{0};
  Clock::time_point started;
  std::int64_t started_unix_ms = 0;
  int attempts = 0;
  /// Number of refusals that left open whether the order had run.
  int uncertain_replies = 0;
  /// Index of the host that got the last attempt.
  std::size_t last_host = 0;
  /// Value of "ran" in the last refusal; empty if it was answered or never
  /// refused.
  std::string last_execution;
  bool answered = false;
  /// Whether the answer has the results of all shards.
  bool whole = false;
  /// Whether any attempt got an HTTP response.
  bool replied = false;
};

}  // namespace berylreach::load
