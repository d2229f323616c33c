// Requests and answers as the state machines see them.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "berylreach/base/clock.h"

namespace berylreach::forward {

/// One attempt of a caller, read whole.
struct CallerRequest {
  std::string id;
  std::string method;
  std::string target;
  /// Header fields that go on to leaves, each line with its CRLF.
  std::string fields;
  std::string body;
  /// Equal for attempts that ask the same for the same caller.
  std::uint64_t fingerprint = 0;
  base::TimePoint received{};
  /// How long the caller waits from `received`.
  std::chrono::milliseconds caller_timeout{0};
};

/// A complete answer of a leaf.
struct LeafReply {
  int status = 0;
  std::string reason;
  /// Fields that go back to the caller, each line with its CRLF.
  std::string fields;
  /// The leaf's signature of the answer; empty without one.
  std::string signature;
  std::string body;
  /// The leaf states that it did not run the call.
  bool not_run = false;
  /// Another incarnation answered than the one addressed.
  bool wrong_incarnation = false;
  /// The leaf is leaving and wants no new calls.
  bool leaving = false;
  /// The leaf wants no calls of this host for so long.
  std::optional<std::chrono::milliseconds> pause;

  bool success() const { return status >= 200 && status < 300; }
};

/// Why a call has no answer.
enum class CallFailure {
  /// Nothing of the call reached the leaf.
  kNotSent,
  /// The call was sent, and the connection ended or broke the protocol.
  kMayHaveRun,
  /// The call's time is over.
  kTimedOut,
  /// The call was taken back before it was sent; this says nothing about the
  /// leaf.
  kWithdrawn,
};

/// What a refusal of the host's own says.
enum class Refusal {
  kNone,
  /// No leaf took the request; a repeat is safe for all kinds.
  kNotRun,
  /// A leaf may have run the request.
  kMayHaveRun,
  /// The time of the request is over; a leaf may have run it.
  kTimedOut,
};

/// The final answer to a caller.
struct CallerReply {
  /// kNone for an answer of leaves.
  Refusal refusal = Refusal::kNone;
  /// Short reason of a refusal, for the log and the body.
  std::string cause;
  /// When a repeat makes sense; 0 says nothing.
  std::chrono::milliseconds retry_after{0};
  /// The answer of the leaf, or the status and body of the merged answer.
  LeafReply reply;
  /// Signatures of the merged parts.
  std::vector<std::string> signatures;
  std::size_t missing = 0;
};

/// Names a call to a leaf in this process.
using CallId = std::uint64_t;

}  // namespace berylreach::forward
