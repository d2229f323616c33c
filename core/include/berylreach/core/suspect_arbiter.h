// Arbitration of suspect calls: only one run of a suspect fingerprint at a
// time.
#pragma once

#include <optional>
#include <unordered_map>

#include "berylreach/core/outbox.h"
#include "berylreach/core/shared_state.h"
#include "berylreach/model/leaf_call.h"
#include "berylreach/model/leaf_cancel.h"
#include "berylreach/model/leaf_reply.h"

namespace berylreach::core {

/// Runs on the host that is the arbiter of a suspect fingerprint. It grants one
/// run at a time over all hosts, forwards the call to the owner of the leaf,
/// and reports the outcome to the quarantine.
class SuspectArbiter {
 public:
  SuspectArbiter(const base::Clock& clock, SharedState& state, Outbox& outbox);

  /// Forwards, defers or refuses a call marked `exclusive` from the host that
  /// runs the request.
  void OnCall(const model::HostName& from, const model::LeafCall& call);

  /// Whether `call` must be handled by the arbiter on this host rather than by
  /// the owner of its leaf.
  bool Arbitrates(const model::HostName& from,
                  const model::LeafCall& call) const;

  /// Processes the reply to a forwarded call; returns false for any other
  /// reply.
  bool OnReply(const model::LeafReply& reply);

  /// Cancels a forwarded or deferred call.
  void OnCancel(const model::LeafCancel& cancel);

  /// Drops runs whose reply has not arrived in time, and starts the deferred
  /// calls that are due.
  void Tick();

  /// When the next deferred call is due.
  std::optional<base::TimePoint> NextWakeup() const;

 private:
  /// A canary that waits, so that reports of crashes from other hosts can
  /// arrive first.
  struct DeferredCall {
    model::HostName from;
    model::LeafCall call;
    base::TimePoint start_at;
    base::TimePoint deadline;
  };

  /// A call that was forwarded to the owner of its leaf.
  struct ForwardedCall {
    model::HostName from;
    model::HostName owner;
    model::LeafCall call;
    /// End of the grant for this run.
    base::TimePoint until;
  };

  /// Defers or refuses `call`; returns false if it may run now.
  bool Defer(const model::HostName& from, const model::LeafCall& call);
  void Run(const model::HostName& from, const model::LeafCall& call,
           base::TimePoint deadline);
  void Refuse(const model::HostName& to, const model::LeafCall& call,
              model::LeafOutcome outcome);
  void ReportOutcome(const ForwardedCall& run, model::LeafOutcome outcome);

  const base::Clock& clock_;
  SharedState& state_;
  Outbox& outbox_;
  std::unordered_map<model::CallId, ForwardedCall> runs_;
  /// One per fingerprint, since a second one would not get a grant.
  std::unordered_map<std::uint64_t, DeferredCall> deferred_;
};

}  // namespace berylreach::core
