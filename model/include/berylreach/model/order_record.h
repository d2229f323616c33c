// The stored record of one order.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>

#include "berylreach/model/names.h"

namespace berylreach::model {

/// Progress of an order. An order can be claimed again only in state kReleased.
enum class OrderState : std::uint8_t {
  kClaimed,   ///< The claimer may be about to send it, may have sent it, or may
              ///< no longer be running.
  kReleased,  ///< Proven not to have run.
  kDone,      ///< Ran; `outcome` is its result.
  kUnknown,   ///< Sent without an answer, so it may have run.
};

/// One entry of an order journal.
struct OrderRecord {
  ServiceName service;
  std::string key;
  /// Hash of the payload; a repeated request with the same key must have the
  /// same hash.
  std::uint64_t payload_hash = 0;
  std::chrono::system_clock::time_point issued_at;
  /// Host that claimed the order last, and its incarnation.
  HostName claimer;
  std::uint64_t claimer_incarnation = 0;
  /// Random number drawn for each claim. If the answer to a write is lost, the
  /// claimer reads the journal back and recognizes its own claim by the nonce.
  std::uint64_t nonce = 0;
  OrderState state = OrderState::kClaimed;
  /// The leaf's result as JSON text; set in state kDone only. Empty if the
  /// journal had no room for it.
  std::string outcome;
  /// Index version that the leaf reported with the result.
  std::uint64_t version = 0;

  friend bool operator==(const OrderRecord&, const OrderRecord&) = default;
};

}  // namespace berylreach::model
