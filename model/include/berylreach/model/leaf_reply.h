// The outcome of a leaf call.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "berylreach/model/call_id.h"
#include "berylreach/model/holding.h"
#include "berylreach/model/names.h"

namespace berylreach::model {

/// How a leaf call ended.
enum class LeafOutcome : std::uint8_t {
  kOk,
  kVersionGone,  ///< The leaf no longer holds the version; `holdings` lists
                 ///< what it holds.
  kShed,         ///< The leaf refused and proved that the call did not run.
  kDraining,     ///< The leaf is leaving and did not run the call.
  kOverloaded,   ///< The owner's queue cannot serve the call before its
                 ///< deadline; nothing was sent.
  kNotOwner,     ///< The receiver does not own the leaf; nothing was sent.
  kBlocked,      ///< The fingerprint is blocked; nothing was sent.
  kNotSent,      ///< The call was cancelled, reached its deadline or had no
                 ///< connection before a byte was sent.
  kLost,  ///< After bytes were sent, the connection broke or the answer was
          ///< invalid.
  kLeafCrashed,  ///< Like kLost, and the leaf process is known to have crashed.
  kTimedOut,     ///< No answer before the deadline, after bytes were sent.
  kSuspect,      ///< The fingerprint became suspect before the call started;
                 ///< nothing was sent.
  kNoSlot,  ///< The leaf has no free slot for a call marked `no_wait`; nothing
            ///< was sent.
};

/// Whether `outcome` proves that the leaf did not run the call.
bool ProvesNotRun(LeafOutcome outcome);

/// The owner's reply to a LeafCall.
struct LeafReply {
  CallId id;
  LeafName leaf;
  LeafOutcome outcome = LeafOutcome::kNotSent;
  std::uint64_t version = 0;
  std::uint32_t shard = 0;
  std::uint32_t shard_count = 0;
  std::string result;
  std::vector<Holding> holdings;
  /// Number of calls queued or running for this leaf at its owner when the
  /// owner made the reply.
  std::uint32_t load = 0;
  std::chrono::milliseconds retry_after{0};

  friend bool operator==(const LeafReply&, const LeafReply&) = default;
};

}  // namespace berylreach::model
