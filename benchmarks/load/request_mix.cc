// Creation of the requests that the load generator sends.
#include "request_mix.h"

#include <boost/json.hpp>
#include <chrono>
#include <string>

namespace berylreach::load {
namespace {

std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

Request MakeRequest(const Options& options, Kind kind, std::int64_t number) {
  Request request;
  request.kind = kind;
  request.started = Clock::now();
  request.started_unix_ms = UnixMs();
  request.deadline =
      kind == Kind::kOrder ? options.order_deadline : options.deadline;
  const std::string payload_id = std::to_string(number % options.payloads);
  json::object body{{"deadline_ms", request.deadline.count()}};
  if (kind == Kind::kQuery) {
    request.payload = {{"hide_batch", "H-" + payload_id}};
    body["service"] = options.query_service;
    body["payload"] = request.payload;
  } else if (kind == Kind::kLookup) {
    request.payload = json::string("order-" + payload_id);
    body["service"] = options.lookup_service;
    body["key"] = request.payload;
  } else {
    request.key = options.key_prefix + "-" + std::to_string(number);
    request.payload = {{"cut", request.key}};
    body["service"] = options.order_service;
    body["key"] = request.key;
    body["issued_at_ms"] = UnixMs();
    body["payload"] = request.payload;
  }
  request.body = json::serialize(body);
  return request;
}

}  // namespace berylreach::load
