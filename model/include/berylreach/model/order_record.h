// What the store keeps about one order.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>

#include "berylreach/model/names.h"

namespace berylreach::model {

/// Progress of an order. Only kReleased lets the order be claimed again.
enum class OrderState : std::uint8_t {
  kClaimed,   ///< A claimer may send it, may have sent it, or has stopped.
  kReleased,  ///< Proven not to have run.
  kDone,      ///< Ran; `outcome` is its result.
  kUnknown,   ///< Sent, without an answer: it may have run.
};

/// One order of an order journal.
struct OrderRecord {
  ServiceName service;
  std::string key;
  /// Hash of the payload; a repeat must carry the same.
  std::uint64_t payload_hash = 0;
  std::chrono::system_clock::time_point issued_at;
  /// Host and incarnation that claimed the order last.
  HostName claimer;
  std::uint64_t claimer_incarnation = 0;
  /// Drawn for each claim, so that a lost answer can be resolved by reading
  /// back.
  std::uint64_t nonce = 0;
  OrderState state = OrderState::kClaimed;
  /// The leaf's result as JSON text; kDone only.
  std::string outcome;
  std::uint64_t version = 0;

  friend bool operator==(const OrderRecord&, const OrderRecord&) = default;
};

}  // namespace berylreach::model
