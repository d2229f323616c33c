// HTTP server of a process that runs one or more leaf stand-ins.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "berylreach/standins/leaf_model.h"
#include "berylreach/standins/standin.h"

namespace berylreach::standins {

/// Serves each leaf, and its control endpoint, at an address of its own.
class LeafProcess final : public Standin {
 public:
  explicit LeafProcess(std::vector<LeafOptions> leaves);
  ~LeafProcess() override { Stop(); }

  /// Binds the addresses of all leaves. Returns an empty string, or the error
  /// text if an address cannot be bound.
  std::string StartAll();

 private:
  void Serve(const transport::HttpRequest& request) override;
  void Control(const transport::HttpRequest& request,
               const boost::json::object& fields) override;
  boost::json::object Counters(const transport::HttpRequest& request) override;
  void OnClientDisconnected(transport::HttpToken token) override;
  /// The leaf whose address received `request`.
  LeafModel& ModelOf(const transport::HttpRequest& request);

  const std::vector<LeafOptions> leaves_;
  const std::uint64_t incarnation_;
  /// By index of `leaves_`. Created on first use, because a model needs the
  /// running server.
  std::vector<std::unique_ptr<LeafModel>> models_;
};

}  // namespace berylreach::standins
