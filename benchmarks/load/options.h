// Options of the load generator berylreach-load.
#pragma once

#include <chrono>
#include <string>
#include <vector>

namespace berylreach::load {

/// Which requests to send, to which hosts, and which checks to make.
struct Options {
  /// HTTP addresses of the hosts, each "IP:port".
  std::vector<std::string> hosts;
  /// Period during which new requests are started.
  std::chrono::milliseconds duration{0};
  /// Rates in requests per second.
  double queries = 0;
  double lookups = 0;
  double orders = 0;
  std::string query_service;
  std::string lookup_service;
  std::string order_service;
  /// Deadline that queries and lookups carry.
  std::chrono::milliseconds deadline{0};
  std::chrono::milliseconds order_deadline{0};
  /// Number of distinct payloads of queries and of distinct keys of lookups.
  int payloads = 1;
  /// Common prefix of all order keys.
  std::string key_prefix;
  /// Age after which an order is no longer retried.
  std::chrono::milliseconds order_retry_timeout{0};
  bool verify_orders = false;
  /// HTTP addresses of the simulated leaves that run orders.
  std::vector<std::string> leaves;
};

/// Options from the command line; call it after gflags has parsed the flags.
Options OptionsFromFlags();

}  // namespace berylreach::load
