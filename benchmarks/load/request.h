// One request of a caller.
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
  std::chrono::milliseconds deadline{0};
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

}  // namespace berylreach::load
