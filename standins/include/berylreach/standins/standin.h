// Base class of the stand-ins, which are simple HTTP servers that take the
// place of the platform and the leaves in tests.
#pragma once

#include <boost/json/value.hpp>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "berylreach/transport/http_handler.h"
#include "berylreach/transport/http_server.h"
#include "berylreach/transport/io_thread.h"

namespace berylreach::standins {

/// Serves requests and a control endpoint: POST /control sets faults and other
/// properties, GET /control returns counters. All virtual functions run on the
/// server's thread, so derived classes need no locks.
class Standin : private transport::HttpHandler {
 public:
  ~Standin() override = default;
  Standin(const Standin&) = delete;
  Standin& operator=(const Standin&) = delete;

  /// Starts the server at `addresses`. Returns an empty string, or the error
  /// text if an address cannot be bound.
  std::string Start(std::vector<std::string> addresses);

  /// The bound addresses, in the order given to Start, with their actual ports.
  const std::vector<std::string>& addresses() const {
    return server_->addresses();
  }

 protected:
  Standin() = default;

  /// Handles each request that is not for /control.
  virtual void Serve(const transport::HttpRequest& request) = 0;
  /// Applies the fields of a control request; absent fields change nothing.
  virtual void Control(const transport::HttpRequest& request,
                       const boost::json::object& fields) = 0;
  /// The counters that GET /control returns.
  virtual boost::json::object Counters(
      const transport::HttpRequest& request) = 0;
  void OnClientDisconnected(transport::HttpToken /*token*/) override {}

  transport::HttpServer& server() { return *server_; }
  /// Sends `body` as JSON.
  void Reply(transport::HttpToken token, int status,
             const boost::json::value& body,
             std::vector<transport::HttpField> fields = {});
  /// Stops the server. Each derived class must call it in its destructor,
  /// because handlers use the members of the derived class.
  void Stop() { server_.reset(); }

 private:
  void OnRequest(transport::HttpRequest request) final;

  transport::IoThread thread_;
  std::unique_ptr<transport::HttpServer> server_;
};

/// Sets `target` if `fields` has a field `name` of the type of `target`.
void Assign(const boost::json::object& fields, std::string_view name,
            double& target);
void Assign(const boost::json::object& fields, std::string_view name,
            std::int64_t& target);
void Assign(const boost::json::object& fields, std::string_view name,
            bool& target);
void Assign(const boost::json::object& fields, std::string_view name,
            std::string& target);

/// The value of parameter `name` in the query string of `target`, without
/// percent-decoding; empty if absent.
std::string QueryParameter(const std::string& target, std::string_view name);

/// Writes `line` as one line of JSON to standard output, which tells the parent
/// process that the stand-in accepts requests, then waits for SIGTERM or
/// SIGINT.
void PrintReadyAndWait(const boost::json::value& line);

/// Blocks SIGTERM and SIGINT, so that PrintReadyAndWait receives them. Must be
/// called before any thread starts, because threads inherit the mask.
void BlockSignals();

}  // namespace berylreach::standins
