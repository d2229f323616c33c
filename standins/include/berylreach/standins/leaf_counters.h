// What a leaf stand-in counts.
#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <map>
#include <string>

namespace berylreach::standins {

/// Counters since the start or the last reset.
struct LeafCounters {
  /// Calls that began to run, by kind and by payload text.
  std::map<std::string, std::int64_t> started;
  std::map<std::string, std::int64_t> payloads;
  /// Orders that began to run, by key.
  std::map<std::string, std::int64_t> orders;
  std::int64_t max_running = 0;
  std::int64_t completed = 0;
  std::int64_t past_deadline = 0;
  std::int64_t shed = 0;
  std::int64_t failed_cold = 0;
  std::int64_t cancelled = 0;
  std::int64_t version_gone = 0;
  std::int64_t status_reads = 0;
  /// When the last call arrived, run or not; Unix time.
  std::int64_t last_new_call_unix_us = 0;
};

boost::json::object ToJson(const LeafCounters& counters);

}  // namespace berylreach::standins
