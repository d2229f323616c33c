// Structured logging of state changes and request outcomes.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <iosfwd>
#include <string>

namespace berylreach::host {

/// Log entry of a request that was refused, failed, late or partial.
struct RequestLogEntry {
  std::string id;
  /// Fingerprint, equal for all attempts of the same request; empty if there is
  /// none.
  std::string fingerprint;
  /// Name of the route, or the request target if no route was found.
  std::string route;
  /// Name of the tenant; empty if there is none or its key is unknown.
  std::string tenant;
  /// HTTP status of the response; 0 if the caller disconnected.
  int status = 0;
  /// Cause of the outcome.
  std::string cause;
  std::chrono::nanoseconds latency{0};
  /// Number of subrequests that were answered, of all subrequests of the
  /// request (one for each shard, or one for a request to a single leaf), and
  /// of calls sent.
  std::size_t answered = 0;
  std::size_t subrequests = 0;
  std::size_t calls = 0;
  /// The subrequests without an answer, with their causes.
  std::string unanswered;
  /// Hosts that ran groups of the request's shards; empty if there were none.
  std::string group_hosts;
  /// Version of the configuration in force.
  std::uint64_t version = 0;
};

/// Starts logging to standard error, as one JSON object per line that names
/// this host. Call once, before any other thread starts.
void StartLog(const std::string& host);
/// Starts logging to `stream`, which must outlive the log.
void StartLog(const std::string& host, std::ostream& stream);

/// Logs the outcome of a request.
void LogRequest(const RequestLogEntry& request);

/// Number of lines that were dropped because the queue was full.
std::uint64_t DroppedLogLines();

/// Logs a state change of the kind `type`. Routine events are only counted, not
/// logged.
void LogStateChange(const std::string& type, const std::string& subject,
                    const std::string& detail);

/// Flushes the log and stops logging.
void StopLog();

}  // namespace berylreach::host
