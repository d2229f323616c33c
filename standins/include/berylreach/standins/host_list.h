// Stand-in for the platform's host list.
#pragma once

#include <boost/json/array.hpp>
#include <cstdint>

#include "berylreach/standins/standin.h"

namespace berylreach::standins {

/// Control fields: "entries" (replaces the list, in the form of the list
/// itself), "states" (object of node name and "live" or "leaving": changes or
/// adds entries), "lag_ms" (changes show after this time), "down" (bool).
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
