// What the load program counts.
#pragma once

#include <boost/json/array.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "request.h"

namespace berylreach::load {

/// Most examples of faults that are kept.
constexpr std::size_t kMaxExamples = 10;

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

/// Figures of all requests.
struct Figures {
  std::map<Kind, KindFigures> kinds;
  /// By kind, and by code and execution.
  std::map<std::string, std::map<std::string, std::int64_t>> refusals;
  /// Missing shards by reason.
  std::map<std::string, std::int64_t> missing;
  /// By Unix time in seconds.
  std::map<std::int64_t, Second> seconds;
  std::vector<OrderResult> orders;
  std::int64_t cut = 0;
  std::int64_t timed_out = 0;
  std::int64_t no_connection = 0;
  std::int64_t no_ready_host = 0;
  std::int64_t wrong_answers = 0;
  /// Faults, at most kMaxExamples.
  json::array examples;
};

}  // namespace berylreach::load
