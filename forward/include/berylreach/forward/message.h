// Requests and answers as the state machines of forwarding use them.
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

/// One attempt of a caller, completely received.
struct CallerRequest {
  std::string id;
  std::string method;
  std::string target;
  /// Header fields that are forwarded to leaves, each line with its CRLF.
  std::string fields;
  std::string body;
  /// Name of the tenant; empty if the request belongs to none.
  std::string tenant;
  /// Equal for attempts of the same caller that ask for the same.
  std::uint64_t fingerprint = 0;
  base::TimePoint received{};
  /// Time for which the caller waits, starting at `received`.
  std::chrono::milliseconds caller_timeout{0};
};

/// A complete answer of a leaf.
struct LeafReply {
  int status = 0;
  std::string reason;
  /// Header fields that are returned to the caller, each line with its CRLF.
  std::string fields;
  /// The leaf's signature of the answer; empty if there is none.
  std::string signature;
  std::string body;
  /// The leaf states that it did not run the call.
  bool not_run = false;
  /// An incarnation other than the addressed one answered.
  bool wrong_incarnation = false;
  /// The leaf is leaving and accepts no new calls.
  bool leaving = false;
  /// Calls per second that the leaf accepts from all hosts together, until it
  /// states another limit or none; empty if it states none.
  std::optional<double> rate_limit;
  /// Time for which the leaf accepts no more calls of this host; empty if it
  /// states none.
  std::optional<std::chrono::milliseconds> requested_pause;

  bool success() const { return status >= 200 && status < 300; }
};

/// Why a call got no answer.
enum class CallFailure {
  /// No part of the call reached the leaf.
  kNotSent,
  /// The call was sent, and then the connection ended or broke the protocol.
  kMayHaveRun,
  /// The call's deadline passed.
  kTimedOut,
  /// The host withdrew the call before it was sent; this says nothing about the
  /// leaf.
  kWithdrawn,
};

/// What a refusal by this host states about the request.
enum class Refusal {
  kNone,
  /// No leaf ran the request; any request can be retried safely.
  kNotRun,
  /// A leaf may have run the request.
  kMayHaveRun,
  /// The deadline of the request passed; a leaf may have run it.
  kTimedOut,
};

/// The final answer to a caller.
struct CallerReply {
  /// kNone if the answer comes from leaves.
  Refusal refusal = Refusal::kNone;
  /// Short reason of a refusal, for the log and the response body.
  std::string cause;
  /// Delay after which the caller should retry; 0 if none is advised.
  std::chrono::milliseconds retry_after{0};
  /// The answer of the leaf, or the status and body of the merged answer.
  LeafReply reply;
  /// Signatures of the answers that were merged.
  std::vector<std::string> signatures;
  /// Number of shards that the merged answer lacks.
  std::size_t missing_shards = 0;
};

/// Identifies a call to a leaf or to another host within this process.
using CallId = std::uint64_t;

}  // namespace berylreach::forward
