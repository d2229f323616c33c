// A process of the system under test.
#pragma once

#include <boost/json.hpp>
#include <string>

#include "event_loop.h"

namespace review {

/// Starts `target/tools/berylreachd/berylreachd --platform` with a settings
/// file in `folder`, and ends it.
class Host {
 public:
  struct Place {
    std::string name;
    std::string zone;
    std::string region;
    std::string ip;
    /// Share of a core.
    double cores = 0.25;
    /// Zones of the deployment, each with its region.
    boost::json::object zones;
  };

  Host(const std::string& folder, const Place& place, int index,
       const boost::json::object& bounds, const std::string& store);
  ~Host();
  Host(const Host&) = delete;
  Host& operator=(const Host&) = delete;

  const std::string& name() const { return name_; }
  /// Address for callers.
  const std::string& address() const { return address_; }
  void Start();
  void Signal(int signal) const;
  /// Kills the process and waits for its end.
  void Kill();
  /// Waits until readiness checks are answered with 200; false after `limit`.
  bool WaitUntilReady(EventLoop& loop, milliseconds limit) const;

 private:
  std::string name_;
  std::string address_;
  std::string ready_address_;
  std::string settings_path_;
  std::string log_path_;
  int pid_ = 0;
};

}  // namespace review
