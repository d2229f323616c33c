// Counters and latencies that the load generator collects.
#pragma once

#include <boost/json/array.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "request.h"

namespace berylreach::load {

/// Maximum number of faults that are reported in full.
constexpr std::size_t kMaxFaultExamples = 10;

/// Results of all requests of one kind.
struct KindStatistics {
  std::int64_t started = 0;
  /// Answered with the results of all shards.
  std::int64_t whole = 0;
  /// Answered without the results of some shards.
  std::int64_t partial = 0;
  /// Ended without an answer, after at least one attempt got an HTTP response.
  std::int64_t refused = 0;
  /// Ended without an HTTP response to any attempt.
  std::int64_t without_reply = 0;
  std::int64_t attempts = 0;
  /// From the start of the request to its answer; answered requests only.
  std::vector<double> latencies_ms;
};

/// Results of the requests that started within one second of wall-clock time.
struct SecondStatistics {
  std::int64_t requests = 0;
  std::int64_t not_whole = 0;
  double max_latency_ms = 0;
};

/// What the caller knows of an order once the order was answered or given up.
struct OrderResult {
  std::string key;
  bool answered = false;
  /// Value of "ran" in the last refusal; empty if it was answered or never
  /// refused.
  std::string last_execution;
};

/// Results of all requests of one run.
struct LoadStatistics {
  std::map<Kind, KindStatistics> kinds;
  /// Number of refusals by kind of request, then by "CODE/RAN" of the refusal.
  std::map<std::string, std::map<std::string, std::int64_t>> refusals;
  /// Number of shards missing from answers, by reason.
  std::map<std::string, std::int64_t> missing;
  /// By the Unix time in seconds at which the requests started.
  std::map<std::int64_t, SecondStatistics> seconds;
  std::vector<OrderResult> orders;
  /// Attempts whose connection failed after it was established.
  std::int64_t connections_lost = 0;
  /// Attempts without a response in time.
  std::int64_t timed_out = 0;
  /// Attempts for which no connection could be opened.
  std::int64_t no_connection = 0;
  /// Number of times that a request found no ready host.
  std::int64_t no_ready_host = 0;
  std::int64_t wrong_answers = 0;
  /// The first kMaxFaultExamples faults.
  json::array examples;
};

}  // namespace berylreach::load
