// Implements the base class of the stand-ins, and the helpers that read JSON
// fields and wait for signals.
#include "berylreach/standins/standin.h"

#include <boost/json.hpp>
#include <csignal>
#include <future>
#include <iostream>
#include <utility>

namespace berylreach::standins {
namespace {

namespace json = boost::json;

sigset_t StopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

}  // namespace

std::string Standin::Start(std::vector<std::string> addresses) {
  std::promise<std::string> started;
  transport::HttpServerOptions options;
  options.addresses = std::move(addresses);
  options.max_connections = 8192;
  // The server is opened on the thread that handles its requests, so that none
  // is handled before server_ is set.
  thread_.Post([&] {
    auto opened = transport::HttpServer::Open(thread_, options, *this);
    if (opened.has_error()) {
      started.set_value(opened.error().address + ": " + opened.error().message);
      return;
    }
    server_ = std::move(opened.value());
    started.set_value({});
  });
  return started.get_future().get();
}

void Standin::OnRequest(transport::HttpRequest request) {
  if (!request.target.starts_with("/control")) {
    Serve(request);
    return;
  }
  if (request.method == "GET") {
    Reply(request.token, 200, Counters(request));
    return;
  }
  boost::system::error_code error;
  const json::value body = json::parse(request.body, error);
  if (error || !body.is_object()) {
    Reply(request.token, 400, {{"error", "not a JSON object"}});
    return;
  }
  Control(request, body.get_object());
  Reply(request.token, 200, {{"ok", true}});
}

void Standin::Reply(transport::HttpToken token, int status,
                    const json::value& body,
                    std::vector<transport::HttpField> fields) {
  server_->Respond(token, {status, "application/json", json::serialize(body),
                           std::move(fields)});
}

void Assign(const json::object& fields, std::string_view name, double& target) {
  const json::value* value = fields.if_contains(name);
  if (value != nullptr && value->is_number())
    target = value->to_number<double>();
}

void Assign(const json::object& fields, std::string_view name,
            std::int64_t& target) {
  double number = static_cast<double>(target);
  Assign(fields, name, number);
  target = static_cast<std::int64_t>(number);
}

void Assign(const json::object& fields, std::string_view name, bool& target) {
  const json::value* value = fields.if_contains(name);
  if (value != nullptr && value->is_bool()) target = value->get_bool();
}

void Assign(const json::object& fields, std::string_view name,
            std::string& target) {
  const json::value* value = fields.if_contains(name);
  if (value != nullptr && value->is_string())
    target = std::string(value->get_string());
}

std::string QueryParameter(const std::string& target, std::string_view name) {
  const std::string field = std::string(name) + "=";
  std::size_t start = target.find('?');
  while (start != std::string::npos) {
    ++start;
    const std::size_t end = target.find('&', start);
    if (target.compare(start, field.size(), field) == 0)
      return target.substr(start + field.size(), end - start - field.size());
    start = end;
  }
  return {};
}

void BlockSignals() {
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void PrintReadyAndWait(const json::value& line) {
  std::cout << json::serialize(line) << std::endl;
  const sigset_t signals = StopSignals();
  int signal = 0;
  sigwait(&signals, &signal);
}

}  // namespace berylreach::standins
