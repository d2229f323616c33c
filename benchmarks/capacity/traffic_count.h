// Messages, bytes and CPU time of the hosts of a World.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <variant>

#include "berylreach/testing/world_observer.h"

namespace berylreach::capacity {

/// Counts from its creation on. Bytes are those of Cap'n Proto messages with
/// their segment table, without the RPC frame and the TCP and IP headers.
class TrafficCount final : public testing::WorldObserver {
 public:
  static constexpr std::size_t kTypes = std::variant_size_v<model::PeerMessage>;

  struct Sum {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
  };

  void OnPeerMessage(const std::string& from, const std::string& to,
                     const model::PeerMessage& message) override;
  void OnStoreCall(const std::string& host) override;
  void OnEventBegin() override;
  void OnEventEnd() override;

  /// By index of the message type in model::PeerMessage.
  const std::array<Sum, kTypes>& by_type() const { return by_type_; }
  Sum Total() const;
  /// The most bytes that one host sent and received.
  std::uint64_t MostBytesOfOneHost() const;
  std::uint64_t store_calls() const { return store_calls_; }
  std::uint64_t events() const { return events_; }
  /// Thread CPU time inside the host cores.
  std::chrono::nanoseconds cpu() const { return cpu_; }

 private:
  std::array<Sum, kTypes> by_type_{};
  std::map<std::string, std::uint64_t> bytes_of_;
  std::uint64_t store_calls_ = 0;
  std::uint64_t events_ = 0;
  std::chrono::nanoseconds cpu_{0};
  std::chrono::nanoseconds event_began_{0};
};

/// Name of a message type by its index in model::PeerMessage.
const char* TypeName(std::size_t type);

/// CPU time of the calling thread.
std::chrono::nanoseconds ThreadCpu();

/// Bytes of `message` in an envelope from `host`.
std::size_t EncodedSize(const std::string& host,
                        const model::PeerMessage& message);

}  // namespace berylreach::capacity
