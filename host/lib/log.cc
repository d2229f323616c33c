// Logging by Boost.Log with its own thread, so that a slow reader of standard
// error does not hold up the core thread. When its queue is full, lines are
// dropped.
#include "berylreach/host/log.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/log/core.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/drop_on_overflow.hpp>
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

constexpr std::size_t kMaxQueuedLines = 1024;

using Sink = logging::sinks::asynchronous_sink<
    logging::sinks::text_ostream_backend,
    logging::sinks::bounded_fifo_queue<kMaxQueuedLines,
                                       logging::sinks::drop_on_overflow>>;

struct LogState {
  std::string host;
  boost::shared_ptr<Sink> sink;
};

LogState& State() {
  static auto* state = new LogState;
  return *state;
}

}  // namespace

void StartLog(const std::string& host) {
  LogState& state = State();
  state.host = host;
  auto backend = boost::make_shared<logging::sinks::text_ostream_backend>();
  // The stream outlives the sink, hence the empty deleter.
  backend->add_stream(
      boost::shared_ptr<std::ostream>(&std::clog, [](std::ostream*) {}));
  backend->auto_flush(true);
  state.sink = boost::make_shared<Sink>(backend);
  logging::core::get()->add_sink(state.sink);
}

void LogStateChange(const std::string& type, const std::string& subject,
                    const std::string& detail) {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  boost::json::object line;
  line["at_unix_us"] =
      std::chrono::duration_cast<std::chrono::microseconds>(now).count();
  line["host"] = State().host;
  line["event"] = type;
  line["subject"] = subject;
  line["detail"] = detail;
  logging::sources::logger_mt logger;
  BOOST_LOG(logger) << boost::json::serialize(line);
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
