// Logs with Boost.Log through a separate thread, so that a slow reader of
// standard error does not block the threads that log. Lines are dropped when
// the queue of the log's thread is full.
#include "berylreach/host/log.h"

#include <atomic>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/log/core.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>
#include <boost/shared_ptr.hpp>
#include <chrono>
#include <cstddef>
#include <iostream>

namespace berylreach::host {
namespace {

namespace logging = boost::log;

/// Maximum number of lines that wait for the log's thread; further lines are
/// dropped.
constexpr std::size_t kMaxQueuedLines = 1024;

std::atomic<std::uint64_t> dropped_lines = 0;

/// Overflow policy of the queue: drops and counts the lines that find it full.
struct CountDrops {
  template <typename Lock>
  static bool on_overflow(const logging::record_view&, Lock&) {
    dropped_lines.fetch_add(1, std::memory_order_relaxed);
    return false;
  }
  static void on_queue_space_available() {}
  static void interrupt() {}
};

using Sink = logging::sinks::asynchronous_sink<
    logging::sinks::text_ostream_backend,
    logging::sinks::bounded_fifo_queue<kMaxQueuedLines, CountDrops>>;

struct LogState {
  std::string host;
  boost::shared_ptr<Sink> sink;
};

LogState& State() {
  static auto* state = new LogState;
  return *state;
}

boost::json::object MakeLogLine(const char* event) {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  boost::json::object line;
  line["at_unix_us"] =
      std::chrono::duration_cast<std::chrono::microseconds>(now).count();
  line["host"] = State().host;
  line["event"] = event;
  return line;
}

void Write(const boost::json::object& line) {
  logging::sources::logger_mt logger;
  BOOST_LOG(logger) << boost::json::serialize(line);
}

}  // namespace

void StartLog(const std::string& host) { StartLog(host, std::clog); }

void StartLog(const std::string& host, std::ostream& stream) {
  LogState& state = State();
  state.host = host;
  auto backend = boost::make_shared<logging::sinks::text_ostream_backend>();
  // The stream is not owned by the sink, hence the empty deleter.
  backend->add_stream(
      boost::shared_ptr<std::ostream>(&stream, [](std::ostream*) {}));
  backend->auto_flush(true);
  state.sink = boost::make_shared<Sink>(backend);
  logging::core::get()->add_sink(state.sink);
}

void LogStateChange(const std::string& type, const std::string& subject,
                    const std::string& detail) {
  boost::json::object line = MakeLogLine(type.c_str());
  line["subject"] = subject;
  line["detail"] = detail;
  Write(line);
}

void LogRequest(const RequestLogEntry& request) {
  boost::json::object line = MakeLogLine("request");
  line["id"] = request.id;
  if (!request.fingerprint.empty()) line["fingerprint"] = request.fingerprint;
  line["route"] = request.route;
  if (!request.tenant.empty()) line["tenant"] = request.tenant;
  line["status"] = request.status;
  line["cause"] = request.cause;
  line["took_us"] =
      std::chrono::duration_cast<std::chrono::microseconds>(request.latency)
          .count();
  line["answered"] = request.answered;
  line["parts"] = request.subrequests;
  line["calls"] = request.calls;
  line["configuration"] = request.version;
  if (!request.unanswered.empty()) line["unanswered"] = request.unanswered;
  if (!request.group_hosts.empty()) line["group_hosts"] = request.group_hosts;
  Write(line);
}

std::uint64_t DroppedLogLines() {
  return dropped_lines.load(std::memory_order_relaxed);
}

void StopLog() {
  LogState& state = State();
  if (!state.sink) return;
  logging::core::get()->remove_sink(state.sink);
  state.sink->stop();
  state.sink->flush();
  state.sink.reset();
}

}  // namespace berylreach::host
