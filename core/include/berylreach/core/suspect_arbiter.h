// Passes suspect calls on, one at a time.
#pragma once

#include <optional>
#include <unordered_map>

#include "berylreach/core/outbox.h"
#include "berylreach/core/shared_state.h"
#include "berylreach/model/leaf_call.h"
#include "berylreach/model/leaf_cancel.h"
#include "berylreach/model/leaf_reply.h"

namespace berylreach::core {

/// Duties of the host that arbitrates a suspect fingerprint: it grants one run
/// over all hosts at a time, forwards the call to the leaf's owner, and draws
/// the conclusion from its end.
class SuspectArbiter {
 public:
  SuspectArbiter(const base::Clock& clock, SharedState& state, Outbox& outbox);

  /// A call marked `alone` from the host that runs the request.
  void OnCall(const model::HostName& from, const model::LeafCall& call);

  /// Whether `call` must be handled here and not by the leaf's owner.
  bool Arbitrates(const model::HostName& from,
                  const model::LeafCall& call) const;

  /// Takes the reply to a forwarded call; returns false for any other reply.
  bool OnReply(const model::LeafReply& reply);

  /// Withdraws a forwarded call.
  void OnCancel(const model::LeafCancel& cancel);

  /// Ends runs whose reply has not come in time, and starts those whose wait is
  /// over.
  void Tick();

  /// When a waiting run is due.
  std::optional<base::TimePoint> NextWakeup() const;

 private:
  /// A canary that waits for deaths at other hosts to be heard.
  struct DeferredCall {
    model::HostName from;
    model::LeafCall call;
    base::TimePoint start_at;
    base::TimePoint deadline;
  };

  /// A call that was passed on.
  struct Forwarded {
    model::HostName from;
    model::HostName owner;
    model::LeafCall call;
    base::TimePoint until;
  };

  /// Makes `call` wait or refuses it; returns false if it may run now.
  bool Defer(const model::HostName& from, const model::LeafCall& call);
  void Run(const model::HostName& from, const model::LeafCall& call,
           base::TimePoint deadline);
  void Refuse(const model::HostName& to, const model::LeafCall& call,
              model::LeafOutcome outcome);
  void ReportOutcome(const Forwarded& run, model::LeafOutcome outcome);

  const base::Clock& clock_;
  SharedState& state_;
  Outbox& outbox_;
  std::unordered_map<model::CallId, Forwarded> runs_;
  /// By fingerprint: more than one would not get a grant.
  std::unordered_map<std::uint64_t, DeferredCall> deferred_;
};

}  // namespace berylreach::core
