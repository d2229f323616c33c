// Counter of messages, bytes and CPU time of the hosts of a World.
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

/// Counts the traffic and CPU time of the World that it observes. Bytes are the
/// sizes of Cap'n Proto messages with their segment table, without the RPC
/// frame and the TCP and IP headers.
class TrafficCounter final : public testing::WorldObserver {
 public:
  static constexpr std::size_t kTypes = std::variant_size_v<model::PeerMessage>;

  struct MessageTotals {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
  };

  void OnPeerMessage(const std::string& from, const std::string& to,
                     const model::PeerMessage& message) override;
  void OnStoreCall(const std::string& host) override;
  void OnEventBegin() override;
  void OnEventEnd() override;

  /// Totals by index of the message type in model::PeerMessage.
  const std::array<MessageTotals, kTypes>& by_type() const { return by_type_; }
  /// Totals over all message types.
  MessageTotals Total() const;
  /// Maximum over all hosts of the sum of the bytes that a host sent and
  /// received.
  std::uint64_t MaxBytesOfOneHost() const;
  std::uint64_t store_calls() const { return store_calls_; }
  std::uint64_t events() const { return events_; }
  /// CPU time that the observed World spent in the host cores.
  std::chrono::nanoseconds cpu() const { return cpu_; }

 private:
  std::array<MessageTotals, kTypes> by_type_{};
  std::map<std::string, std::uint64_t> bytes_by_host_;
  std::uint64_t store_calls_ = 0;
  std::uint64_t events_ = 0;
  std::chrono::nanoseconds cpu_{0};
  std::chrono::nanoseconds event_start_{0};
};

/// Name of a message type by its index in model::PeerMessage.
const char* TypeName(std::size_t type);

/// CPU time of the calling thread.
std::chrono::nanoseconds ThreadCpuTime();

/// Encoded size in bytes of an envelope with `message` from `host`.
std::size_t EncodedSize(const std::string& host,
                        const model::PeerMessage& message);

}  // namespace berylreach::capacity
