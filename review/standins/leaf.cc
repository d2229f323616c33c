#include "leaf.h"

#include <boost/json.hpp>
#include <chrono>
#include <utility>

namespace review {
namespace {

constexpr milliseconds kServiceTime{10};
/// An entry is removed after this long without a heartbeat.
constexpr milliseconds kEntryLifetime{3600};

std::int64_t UnixMilliseconds() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<milliseconds>(now).count();
}

}  // namespace

Leaf::Leaf(EventLoop& loop, const std::string& ip, std::string id,
           std::string service, std::string zone, OnRun on_run)
    : loop_(loop),
      id_(std::move(id)),
      service_(std::move(service)),
      zone_(std::move(zone)),
      on_run_(std::move(on_run)),
      server_(loop, ip,
              [this](const std::shared_ptr<HttpServer::Connection>& connection,
                     const HttpMessage& request) {
                OnRequest(connection, request);
              }) {}

void Leaf::Register(Store& store) const {
  const boost::json::object entry = {{"service", service_},
                                     {"addr", server_.address()},
                                     {"zone", zone_},
                                     {"version", "v1"},
                                     {"slots", 4},
                                     {"state", "ready"},
                                     {"cold_left_ms", 0},
                                     {"seq", 1},
                                     {"born", UnixMilliseconds()}};
  store.Put("servers/" + id_, boost::json::serialize(entry));
}

void Leaf::CrashSilently(Store& store, milliseconds down) {
  if (std::exchange(crashed_, true)) return;
  server_.GoDark();
  loop_.After(kEntryLifetime,
              [&store, key = "servers/" + id_] { store.Delete(key); });
  loop_.After(down, [this, &store] {
    crashed_ = false;
    id_ =
        id_.substr(0, id_.find('-', 2)) + "-" + std::to_string(++incarnation_);
    server_.Return();
    Register(store);
  });
}

void Leaf::OnRequest(const std::shared_ptr<HttpServer::Connection>& connection,
                     const HttpMessage& request) {
  const std::string request_id = request.Field("X-Request-Id");
  const std::string expected = request.Field("X-Expect-Instance");
  const std::string echo = "X-Request-Id: " + request_id + "\r\n";
  if (request.Word(1) == "/healthz") {
    server_.Send(connection,
                 FormatResponse(200, "X-Instance-Id: " + id_ + "\r\n", ""));
  } else if (!expected.empty() && expected != id_) {
    server_.Send(connection, FormatResponse(421, echo, ""));
  } else if (request_id.empty()) {
    server_.Send(connection, FormatResponse(400, "X-Not-Run: 1\r\n", ""));
  } else {
    on_run_(*this, request);
    if (crashed_) return;
    const std::string stamp = "X-Reply-Stamp: " + id_ + "." + request_id;
    const std::string response =
        FormatResponse(200, echo + stamp + "\r\n", service_);
    loop_.After(kServiceTime, [this, connection, response] {
      server_.Send(connection, response);
    });
  }
}

}  // namespace review
