// Options of the load program.
#pragma once

#include <chrono>
#include <string>
#include <vector>

namespace berylreach::load {

/// What to send, where to, and what to check.
struct Options {
  /// HTTP addresses of the hosts.
  std::vector<std::string> hosts;
  /// Time in which requests are started.
  std::chrono::milliseconds duration{0};
  /// Requests per second.
  double queries = 0;
  double lookups = 0;
  double orders = 0;
  std::string query_service;
  std::string lookup_service;
  std::string order_service;
  /// Deadline of queries and lookups.
  std::chrono::milliseconds deadline{0};
  std::chrono::milliseconds order_deadline{0};
  /// Distinct payloads of queries and keys of lookups.
  int payloads = 1;
  /// Start of all order keys.
  std::string key_prefix;
  /// Time after which an order is no longer repeated.
  std::chrono::milliseconds order_patience{0};
  bool verify_orders = false;
  /// Addresses of the leaf stand-ins that run orders.
  std::vector<std::string> leaves;
};

/// The options given on the command line, once gflags has parsed it.
Options OptionsFromFlags();

}  // namespace berylreach::load
