// One process that serves one or many leaf stand-ins.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "berylreach/standins/leaf_model.h"
#include "berylreach/standins/standin.h"

namespace berylreach::standins {

/// Each leaf has its own address; its control endpoint is on that address.
class LeafProcess final : public Standin {
 public:
  explicit LeafProcess(std::vector<LeafOptions> leaves);
  ~LeafProcess() override { Stop(); }

  /// Binds all addresses; returns the error text if one cannot be bound.
  std::string StartAll();

 private:
  void Serve(const transport::HttpRequest& request) override;
  void Control(const transport::HttpRequest& request,
               const boost::json::object& fields) override;
  boost::json::object Counters(const transport::HttpRequest& request) override;
  void OnClientGone(transport::HttpToken token) override;
  LeafModel& ModelOf(const transport::HttpRequest& request);

  const std::vector<LeafOptions> leaves_;
  const std::uint64_t incarnation_;
  /// Made on first use, because they need the running server.
  std::vector<std::unique_ptr<LeafModel>> models_;
};

}  // namespace berylreach::standins
