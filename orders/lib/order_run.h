// One order that this host is claiming, running or recording.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "berylreach/base/clock.h"
#include "berylreach/model/call_id.h"
#include "berylreach/model/caller_reply.h"
#include "order_key.h"
#include "waiter.h"

namespace berylreach::orders {

/// Progress of a run at its coordinator.
enum class RunState : std::uint8_t {
  kReading,   ///< Needs a read that starts after its arrival.
  kClaiming,  ///< Waits for its claim to be written and confirmed.
  kSent,      ///< Handed to the core; an outcome is due.
  kEnded,     ///< Ran or may have run; the outcome is not yet in the store.
};

/// A run that was sent exists until its outcome is written or proves that the
/// order did not run. A claim of this incarnation without a run has therefore
/// not run and may be claimed again.
struct OrderRun {
  OrderKey key;
  model::CallId id;
  std::string payload;
  std::uint64_t payload_hash = 0;
  std::chrono::system_clock::time_point issued_at;
  base::TimePoint deadline;
  /// End of the wait for the store; not after `deadline`.
  base::TimePoint give_up_at;
  /// Nonce of this run's claim.
  std::uint64_t nonce = 0;
  /// Only a read with at least this id is new enough for a run in kReading.
  std::uint64_t min_read_id = 0;
  RunState state = RunState::kClaiming;
  std::vector<Waiter> waiters;
  /// The reply to repeats; kEnded only.
  model::CallerReply reply;
};

}  // namespace berylreach::orders
