// Counters of a leaf stand-in.
#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <map>
#include <string>

namespace berylreach::standins {

/// Counters since the start of the process or the last reset; the field names
/// are the keys of their JSON form.
struct LeafCounters {
  /// Calls that started to run, by request kind and by payload text.
  std::map<std::string, std::int64_t> started;
  std::map<std::string, std::int64_t> payloads;
  /// Orders that started to run, by key.
  std::map<std::string, std::int64_t> orders;
  /// Maximum number of calls that ran at the same time.
  std::int64_t max_running = 0;
  std::int64_t completed = 0;
  /// Calls refused because their deadline had passed.
  std::int64_t past_deadline = 0;
  std::int64_t shed = 0;
  /// Calls failed because the leaf was cold and already ran a call.
  std::int64_t failed_cold = 0;
  std::int64_t cancelled = 0;
  /// Calls refused because the leaf holds no such version of their shard.
  std::int64_t version_gone = 0;
  std::int64_t status_reads = 0;
  /// Arrival of the last call, whether it ran or not, in Unix microseconds.
  std::int64_t last_new_call_unix_us = 0;
};

boost::json::object ToJson(const LeafCounters& counters);

}  // namespace berylreach::standins
