// HTTP stand-in for the platform's host list.
#pragma once

#include <boost/json/array.hpp>
#include <cstdint>

#include "berylreach/standins/standin.h"

namespace berylreach::standins {

/// Serves the host list at /v1/catalog/nodes.
///
/// Control fields:
/// - "entries" (array): replaces the list; entries have the format in which the
///   list is served.
/// - "states" (object, node name to "live" or "leaving"): sets the state of
///   these nodes, and adds an upstream entry for a node that is not listed.
/// - "lag_ms": delay after which later changes are served.
/// - "down" (bool): closes connections without a response.
class HostList final : public Standin {
 public:
  ~HostList() override { Stop(); }

 private:
  void Serve(const transport::HttpRequest& request) override;
  void Control(const transport::HttpRequest& request,
               const boost::json::object& fields) override;
  boost::json::object Counters(const transport::HttpRequest& request) override;

  void SetState(const std::string& node, const std::string& state);
  void Publish(const boost::json::array& entries);

  boost::json::array entries_;
  boost::json::array published_;
  std::uint64_t index_ = 1;
  std::int64_t lag_ms_ = 0;
  bool down_ = false;
  std::int64_t reads_ = 0;
  std::int64_t refused_ = 0;
};

}  // namespace berylreach::standins
