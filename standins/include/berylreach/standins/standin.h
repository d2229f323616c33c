// Common part of the stand-ins: an HTTP server whose handler runs on one
// thread.
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

/// Base of the stand-ins. All virtual functions run on the server's thread, so
/// derived classes need no locks.
class Standin : private transport::HttpHandler {
 public:
  ~Standin() override = default;
  Standin(const Standin&) = delete;
  Standin& operator=(const Standin&) = delete;

  /// Starts serving; returns the error text if an address cannot be bound.
  std::string Start(std::vector<std::string> addresses);

  /// Bound addresses.
  const std::vector<std::string>& addresses() const {
    return server_->addresses();
  }

 protected:
  Standin() = default;

  /// Handles POST and GET /control themselves apart, all other requests.
  virtual void Serve(const transport::HttpRequest& request) = 0;
  /// Applies the fields of a control request; fields that are absent change
  /// nothing.
  virtual void Control(const transport::HttpRequest& request,
                       const boost::json::object& fields) = 0;
  /// The counters shown by GET /control.
  virtual boost::json::object Counters(
      const transport::HttpRequest& request) = 0;
  void OnClientGone(transport::HttpToken /*token*/) override {}

  transport::HttpServer& server() { return *server_; }
  void Reply(transport::HttpToken token, int status,
             const boost::json::value& body,
             std::vector<transport::HttpField> fields = {});
  /// Must be called by the destructor of each derived class, before its members
  /// are gone.
  void Stop() { server_.reset(); }

 private:
  void OnRequest(transport::HttpRequest request) final;

  transport::IoThread thread_;
  std::unique_ptr<transport::HttpServer> server_;
};

/// Sets `target` if `fields` has a number, flag or text of that name.
void Assign(const boost::json::object& fields, std::string_view name,
            double& target);
void Assign(const boost::json::object& fields, std::string_view name,
            std::int64_t& target);
void Assign(const boost::json::object& fields, std::string_view name,
            bool& target);
void Assign(const boost::json::object& fields, std::string_view name,
            std::string& target);

/// Value of a parameter of the query part of `target`; empty if absent.
std::string QueryParameter(const std::string& target, std::string_view name);

/// Prints one JSON line on standard output and waits for SIGTERM or SIGINT.
void PrintReadyAndWait(const boost::json::value& line);

/// Blocks SIGTERM and SIGINT; must be called before any thread starts.
void BlockSignals();

}  // namespace berylreach::standins
