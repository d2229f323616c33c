// HTTP stand-in for the platform's host list.
#pragma once

#include <boost/json/array.hpp>
#include <cstdint>

#include "berylreach/standins/standin.h"

namespace berylreach::standins {

/// Serves the host list at /v1/catalog/nodes in the format of the Consul
/// catalog.
///
/// Control fields:
/// - "entries" (array): replaces the list; entries have the format in which the
///   list is served.
/// - "states" (object, node name to "live" or "leaving"): sets the state of
///   these nodes, and adds an entry of kind "upstream" for a node that is not
///   listed.
/// - "lag_ms": delay before changes are served, from those of this control
///   request on.
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

  /// The list with all changes.
  boost::json::array entries_;
  /// The list that is served.
  boost::json::array published_;
  std::uint64_t index_ = 1;
  std::int64_t lag_ms_ = 0;
  bool down_ = false;
  std::int64_t reads_ = 0;
  std::int64_t refused_ = 0;
};

}  // namespace berylreach::standins
