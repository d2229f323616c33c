// Command line flags of the load generator.
#include "options.h"

#include <gflags/gflags.h>

#include <cstdint>
#include <sstream>

DEFINE_string(hosts, "", "comma-separated HTTP addresses of the hosts");
DEFINE_double(seconds, 5, "seconds during which new requests are started");
DEFINE_double(queries, 40, "queries per second");
DEFINE_double(lookups, 40, "lookups per second");
DEFINE_double(orders, 0, "orders per second");
DEFINE_string(query_service, "order-desk", "service to which queries are sent");
DEFINE_string(lookup_service, "buckle-screen",
              "service to which lookups are sent");
DEFINE_string(order_service, "hide-ledger", "service to which orders are sent");
DEFINE_int32(deadline_ms, 1000,
             "deadline of queries and lookups in milliseconds");
DEFINE_int32(order_deadline_ms, 1000, "deadline of orders in milliseconds");
DEFINE_int32(payloads, 64,
             "number of distinct payloads of queries and of distinct keys of "
             "lookups; each new one runs as a canary first");
DEFINE_string(key_prefix, "load", "prefix of all order keys");
DEFINE_double(order_patience, 20,
              "age in seconds after which an order is no longer retried");
DEFINE_bool(
    verify_orders, false,
    "compare the answers to orders with the executions that the leaves count");
DEFINE_string(
    leaves, "",
    "comma-separated HTTP addresses of the simulated leaves that run orders");

namespace berylreach::load {
namespace {

std::chrono::milliseconds Milliseconds(double seconds) {
  return std::chrono::milliseconds(static_cast<std::int64_t>(seconds * 1000));
}

std::vector<std::string> Split(const std::string& list) {
  std::vector<std::string> items;
  std::stringstream stream(list);
  for (std::string item; std::getline(stream, item, ',');)
    if (!item.empty()) items.push_back(item);
  return items;
}

}  // namespace

Options OptionsFromFlags() {
  Options options;
  options.hosts = Split(FLAGS_hosts);
  options.duration = Milliseconds(FLAGS_seconds);
  options.queries = FLAGS_queries;
  options.lookups = FLAGS_lookups;
  options.orders = FLAGS_orders;
  options.query_service = FLAGS_query_service;
  options.lookup_service = FLAGS_lookup_service;
  options.order_service = FLAGS_order_service;
  options.deadline = std::chrono::milliseconds(FLAGS_deadline_ms);
  options.order_deadline = std::chrono::milliseconds(FLAGS_order_deadline_ms);
  options.payloads = FLAGS_payloads;
  options.key_prefix = FLAGS_key_prefix;
  options.order_retry_timeout = Milliseconds(FLAGS_order_patience);
  options.verify_orders = FLAGS_verify_orders;
  options.leaves = Split(FLAGS_leaves);
  return options;
}

}  // namespace berylreach::load
