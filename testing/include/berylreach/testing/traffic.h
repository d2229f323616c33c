// Background traffic of a test.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "berylreach/testing/world.h"

namespace berylreach::testing {

/// Callers that send requests of all kinds to random hosts and repeat refused
/// orders, to other hosts too.
class Traffic {
 public:
  /// `world` must outlive this object, and this object the world's use.
  explicit Traffic(World& world) : world_(world) {}

  /// Sends one request of each kind every `interval` until Stop.
  void Start(std::chrono::milliseconds interval);
  void Stop() { running_ = false; }

  /// Sends one request of each kind to `host`.
  void SendOne(const std::string& host);

 private:
  struct OpenOrder {
    std::size_t record = 0;
    int attempts = 1;
  };

  void Send();
  void RepeatOrders();
  void SendOrder(const std::string& host, const model::CallerRequest& request);
  std::string AnyHost();

  World& world_;
  bool running_ = false;
  std::chrono::milliseconds interval_{50};
  std::uint64_t sent_ = 0;
  std::vector<OpenOrder> open_orders_;
};

}  // namespace berylreach::testing
