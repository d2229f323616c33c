// Client that reads the platform's host list over HTTP.
#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "berylreach/model/host_list.h"
#include "berylreach/transport/io_thread.h"

namespace berylreach::transport {

/// Address and time limit of a HostListClient.
struct HostListOptions {
  /// IP address and port of the platform.
  std::string address;
  /// Time limit of a read, connecting included.
  std::chrono::milliseconds timeout{1000};
};

/// Reads the platform's list of hosts and leaves, which has the format of the
/// Consul catalog, once per call of Read.
class HostListClient {
 public:
  struct Impl;
  /// Receives the index of the host list with those of its entries that are
  /// marked as leaving, or nullopt if the read failed.
  using Callback = std::function<void(std::optional<model::HostList>)>;

  /// `on_result` is called on `thread`, exactly once per call of Read unless
  /// the client is destroyed first.
  HostListClient(IoThread& thread, HostListOptions options, Callback on_result);
  ~HostListClient();
  HostListClient(const HostListClient&) = delete;
  HostListClient& operator=(const HostListClient&) = delete;

  /// Starts one read. Callable from any thread.
  void Read();

 private:
  std::shared_ptr<Impl> impl_;
};

}  // namespace berylreach::transport
