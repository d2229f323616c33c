// Background traffic for tests.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "berylreach/testing/world.h"

namespace berylreach::testing {

/// Simulates callers that send requests of all kinds to random hosts and send
/// refused orders again, also to other hosts.
class Traffic {
 public:
  /// `world` must outlive this object. This object must exist for as long as
  /// `world` runs, because its scheduled tasks refer to it.
  explicit Traffic(World& world) : world_(world) {}

  /// Sends one request of each kind every `interval` until Stop.
  void Start(std::chrono::milliseconds interval);
  void Stop() { running_ = false; }

  /// Sends one request of each kind to `host`.
  void SendOneOfEachKind(const std::string& host);

 private:
  /// An order that has not been answered; `record` is the index of its latest
  /// request in World::records().
  struct OpenOrder {
    std::size_t record = 0;
    int attempts = 1;
  };

  void Send();
  void RepeatOrders();
  void SendOrder(const std::string& host, const model::CallerRequest& request);
  /// A random ready host, or any running host if none is ready; empty if none
  /// runs.
  std::string RandomHost();

  World& world_;
  bool running_ = false;
  std::chrono::milliseconds interval_{50};
  std::uint64_t sent_ = 0;
  std::vector<OpenOrder> open_orders_;
};

}  // namespace berylreach::testing
