// Queries at a steady rate.
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

/// What one connection saw.
struct Seen {
  std::vector<double> latencies_ms;
  std::size_t whole = 0;
  std::size_t partial = 0;
  std::size_t refused = 0;
};

std::string BodyOf(const QueryLoad& load, std::size_t number) {
  std::string payload = "q" + std::to_string(number % 16);
  payload.resize(std::max(payload.size(), load.payload_bytes - 2), 'x');
  return R"({"service":")" + load.service + R"(","payload":")" + payload +
         R"(","deadline_ms":1000})";
}

void Note(const std::string& response, Seen& seen) {
  if (response.find("\"results\"") == std::string::npos) {
    ++seen.refused;
  } else if (response.find("\"missing\":[]") != std::string::npos) {
    ++seen.whole;
  } else {
    ++seen.partial;
  }
}

void Work(const QueryLoad& load, std::atomic<std::size_t>& next,
          steady_clock::time_point start, Seen& seen) {
  CallerConnection connection(load.target);
  const auto count = static_cast<std::size_t>(
      load.per_second * static_cast<double>(load.seconds));
  while (true) {
    const std::size_t number = next++;
    if (number >= count) return;
    const auto due =
        start + std::chrono::duration_cast<steady_clock::duration>(
                    std::chrono::duration<double>(static_cast<double>(number) /
                                                  load.per_second));
    std::this_thread::sleep_until(due);
    Note(connection.Post("/v1/query", BodyOf(load, number)), seen);
    seen.latencies_ms.push_back(
        std::chrono::duration<double, std::milli>(steady_clock::now() - due)
            .count());
  }
}

void Print(const std::vector<Seen>& parts) {
  Seen sum;
  for (const Seen& part : parts) {
    sum.whole += part.whole;
    sum.partial += part.partial;
    sum.refused += part.refused;
    sum.latencies_ms.insert(sum.latencies_ms.end(), part.latencies_ms.begin(),
                            part.latencies_ms.end());
  }
  std::sort(sum.latencies_ms.begin(), sum.latencies_ms.end());
  const auto at = [&](double quantile) {
    if (sum.latencies_ms.empty()) return 0.0;
    const double last = static_cast<double>(sum.latencies_ms.size() - 1);
    return sum.latencies_ms.at(static_cast<std::size_t>(quantile * last));
  };
  std::printf(
      "{\"sent\":%zu,\"whole\":%zu,\"partial\":%zu,\"refused\":%zu,"
      "\"p50_ms\":%.2f,\"p99_ms\":%.2f}\n",
      sum.latencies_ms.size(), sum.whole, sum.partial, sum.refused, at(0.5),
      at(0.99));
}

}  // namespace

int SendQueries(const QueryLoad& load) {
  std::vector<Seen> seen(load.connections);
  std::atomic<std::size_t> next{0};
  const auto start = steady_clock::now();
  std::vector<std::thread> threads;
  for (Seen& part : seen)
    threads.emplace_back([&] { Work(load, next, start, part); });
  for (std::thread& thread : threads) thread.join();
  Print(seen);
  return 0;
}

}  // namespace berylreach::capacity
