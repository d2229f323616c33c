// One host: its threads, servers and clients.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "berylreach/config/host_settings.h"
#include "berylreach/transport/bind_error.h"

namespace berylreach::host {

/// Runs a host until this object is destroyed.
class HostProcess {
 public:
  /// Binds the addresses of `settings` and starts all threads; returns the
  /// error if an address cannot be bound. `on_stopped` is called once, when a
  /// planned stop is complete.
  static transport::BindResult<std::unique_ptr<HostProcess>> Start(
      const config::HostSettings& settings, std::function<void()> on_stopped);

  ~HostProcess();

  HostProcess(const HostProcess&) = delete;
  HostProcess& operator=(const HostProcess&) = delete;

  /// Begins the planned stop (section 3.14 of docs/design.md).
  void Stop();

  const std::string& http_address() const;
  const std::string& rpc_address() const;

 private:
  struct Impl;

  explicit HostProcess(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace berylreach::host
