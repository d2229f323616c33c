// Stand-in for a leaf.
#pragma once

#include <functional>
#include <string>

#include "http.h"
#include "store.h"

namespace review {

/// Serves requests of one service. It runs those that name it in
/// X-Expect-Instance, or name nobody, and answers others with 421.
class Leaf {
 public:
  /// Called for each request that the leaf begins to run.
  using OnRun = std::function<void(Leaf&, const HttpMessage&)>;

  Leaf(EventLoop& loop, const std::string& ip, std::string id,
       std::string service, std::string zone, OnRun on_run);

  const std::string& id() const { return id_; }
  const std::string& service() const { return service_; }
  const std::string& zone() const { return zone_; }
  /// Writes the leaf's entry to the store.
  void Register(Store& store) const;
  /// Crashes with its machine: nothing is answered, refused or reset until the
  /// leaf is back after `down` with a new id. Its entry expires meanwhile.
  void CrashSilently(Store& store, milliseconds down);
  bool crashed() const { return crashed_; }

 private:
  void OnRequest(const std::shared_ptr<HttpServer::Connection>& connection,
                 const HttpMessage& request);

  EventLoop& loop_;
  std::string id_;
  std::string service_;
  std::string zone_;
  OnRun on_run_;
  bool crashed_ = false;
  int incarnation_ = 0;
  HttpServer server_;
};

}  // namespace review
