// Load of queries to one host at a constant rate.
#include "query_load.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <thread>
#include <vector>

#include "caller_connection.h"

namespace berylreach::capacity {
namespace {

using std::chrono::steady_clock;

/// Results of the queries of one connection.
struct ConnectionResult {
  std::vector<double> latencies_ms;
  std::size_t whole = 0;
  std::size_t partial = 0;
  /// Refused by the host, or failed with the connection.
  std::size_t refused = 0;
};

std::string RequestBody(const QueryLoad& load, std::size_t number) {
  std::string payload = "q" + std::to_string(number % 16);
  payload.resize(std::max(payload.size(), load.payload_bytes - 2), 'x');
  return R"({"service":")" + load.service + R"(","payload":")" + payload +
         R"(","deadline_ms":1000})";
}

void CountResponse(const std::string& response, ConnectionResult& result) {
  if (response.find("\"results\"") == std::string::npos) {
    ++result.refused;
  } else if (response.find("\"missing\":[]") != std::string::npos) {
    ++result.whole;
  } else {
    ++result.partial;
  }
}

void SendOnConnection(const QueryLoad& load, std::atomic<std::size_t>& next,
                      steady_clock::time_point start,
                      ConnectionResult& result) {
  CallerConnection connection(load.target);
  const auto count = static_cast<std::size_t>(
      load.per_second * static_cast<double>(load.seconds));
  while (true) {
    const std::size_t number = next++;
    if (number >= count) return;
    const auto scheduled =
        start + std::chrono::duration_cast<steady_clock::duration>(
                    std::chrono::duration<double>(static_cast<double>(number) /
                                                  load.per_second));
    std::this_thread::sleep_until(scheduled);
    CountResponse(connection.Post("/v1/query", RequestBody(load, number)),
                  result);
    result.latencies_ms.push_back(std::chrono::duration<double, std::milli>(
                                      steady_clock::now() - scheduled)
                                      .count());
  }
}

void PrintSummary(const std::vector<ConnectionResult>& results) {
  ConnectionResult sum;
  for (const ConnectionResult& result : results) {
    sum.whole += result.whole;
    sum.partial += result.partial;
    sum.refused += result.refused;
    sum.latencies_ms.insert(sum.latencies_ms.end(), result.latencies_ms.begin(),
                            result.latencies_ms.end());
  }
  std::sort(sum.latencies_ms.begin(), sum.latencies_ms.end());
  const auto quantile_at = [&](double quantile) {
    if (sum.latencies_ms.empty()) return 0.0;
    const double last = static_cast<double>(sum.latencies_ms.size() - 1);
    return sum.latencies_ms.at(static_cast<std::size_t>(quantile * last));
  };
  std::printf(
      "{\"sent\":%zu,\"whole\":%zu,\"partial\":%zu,\"refused\":%zu,"
      "\"p50_ms\":%.2f,\"p99_ms\":%.2f}\n",
      sum.latencies_ms.size(), sum.whole, sum.partial, sum.refused,
      quantile_at(0.5), quantile_at(0.99));
}

}  // namespace

int SendQueries(const QueryLoad& load) {
  std::vector<ConnectionResult> results(load.connections);
  std::atomic<std::size_t> next{0};
  const auto start = steady_clock::now();
  std::vector<std::thread> threads;
  for (ConnectionResult& result : results)
    threads.emplace_back([&] { SendOnConnection(load, next, start, result); });
  for (std::thread& thread : threads) thread.join();
  PrintSummary(results);
  return 0;
}

}  // namespace berylreach::capacity
