// Structured logging of changes of state and of requests.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <iosfwd>
#include <string>

namespace berylreach::host {

/// What is logged of a request that was refused, failed, late or partial.
struct RequestLogEntry {
  std::string id;
  /// Equal for attempts that ask the same; empty if there is none.
  std::string fingerprint;
  /// Name of the route, or the target of a request without one.
  std::string route;
  /// HTTP status of the answer; 0 if the caller left.
  int status = 0;
  /// What decided the outcome.
  std::string cause;
  std::chrono::nanoseconds took{0};
  std::size_t answered = 0;
  std::size_t parts = 0;
  std::size_t calls = 0;
  /// Parts without an answer, and why.
  std::string unanswered;
  /// Hosts that ran groups of its shards; empty if there were none.
  std::string group_hosts;
  /// Version of the configuration in force.
  std::uint64_t version = 0;
};

/// Configures logging as one JSON object a line, labelled with the host's name,
/// to standard error. Call once, before any other thread starts.
void StartLog(const std::string& host);
/// The same to `stream`, which must outlive the log.
void StartLog(const std::string& host, std::ostream& stream);

/// Writes one line for the outcome of a request.
void LogRequest(const RequestLogEntry& line);

/// Lines that were dropped because the queue was full.
std::uint64_t DroppedLogLines();

/// Writes one line for a change of state. Counters cover everything else.
void LogStateChange(const std::string& type, const std::string& subject,
                    const std::string& detail);

/// Flushes and removes the log sink.
void StopLog();

}  // namespace berylreach::host
