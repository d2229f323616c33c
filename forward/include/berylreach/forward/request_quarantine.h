// Limits the number of leaves that are crashed by a request that crashes each
// leaf that runs it.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "berylreach/base/clock.h"
#include "berylreach/forward/leaf_observation.h"
#include "berylreach/quarantine/quarantine.h"

namespace berylreach::forward {

/// How a request may run on this host.
enum class RunPermit {
  /// Without restrictions.
  kUnrestricted,
  /// Starts with one call; the others follow after it has completed.
  kProbeFirst,
  /// Refused: another attempt of the request is already running with a single
  /// call.
  kBusy,
  /// Refused: a single call of the request was lost, and it is not known yet
  /// whether its leaf has crashed.
  kHeld,
  /// Refused: the request has crashed leaves and must not run.
  kBlocked,
};

/// A call that ended without an answer, or has had none for so long that its
/// leaf may have crashed.
struct LostCall {
  /// Identifies the run within this process.
  std::uint64_t run = 0;
  std::uint64_t fingerprint = 0;
  /// Id of the leaf incarnation, its start time (0 if it is not known), and its
  /// address.
  std::string leaf;
  std::uint64_t started_unix_ms = 0;
  std::string address;
  /// No other call of the request was running, and an earlier leaf may have
  /// crashed while it ran the request.
  bool sole_call = false;

  friend bool operator==(const LostCall&, const LostCall&) = default;
};

/// Outcome of a run.
struct EndedRun {
  std::uint64_t run = 0;
  std::uint64_t fingerprint = 0;
  /// The run started with one call (RunPermit::kProbeFirst).
  bool probed_first = false;
  /// A leaf completed one of its calls.
  bool completed = false;
};

/// Counts the leaves that crashed while they ran a request, by fingerprint and
/// over all hosts, and decides how the request may run.
///
/// A lost call by itself is no evidence: an observation must also show that the
/// leaf's process has ended, which may take seconds. Until then the request is
/// under suspicion at all hosts: its next attempt starts with one call, and if
/// that is lost too, further attempts are held back until the fate of the leaf
/// is known. A request that completes on any leaf is not held responsible for
/// other leaves that crashed at the same time, for example when many leaves
/// fail together. Not thread-safe.
class RequestQuarantine {
 public:
  using Actions = std::vector<quarantine::Action>;

  /// Longest time for which the fate of a leaf is waited for. Discovery drops a
  /// silent leaf after three heartbeats, and most leaves are back after some
  /// seconds.
  static constexpr std::chrono::seconds kEvidenceWait{8};

  /// `restart_listed_within` is explained at IsSameProcess.
  RequestQuarantine(const base::Clock& clock,
                    std::chrono::milliseconds restart_listed_within);

  /// Decides how an attempt may run. A suspect request may run one attempt at a
  /// time: no other attempt is admitted until the outcome of the first is known
  /// or its `answer_deadline` has passed, so that a leaf that does not answer
  /// does not block further attempts. After kProbeFirst, OnRunEnded or OnNotRun
  /// must be called.
  RunPermit Admit(std::uint64_t fingerprint, base::TimePoint answer_deadline);
  /// The admitted attempt was refused for another reason and did not run.
  void OnNotRun(std::uint64_t fingerprint);
  /// Whether shards of the request may be run for another host, which may not
  /// know yet that the request is suspect.
  bool MayRunForOthers(std::uint64_t fingerprint) const;
  /// Time until a blocked or held request may be sent again.
  base::Duration RefusedFor(std::uint64_t fingerprint) const;

  /// Records a lost call, which counts as evidence only after an observation of
  /// its leaf.
  void OnCallLost(LostCall call);
  /// Records calls of a run that goes on without any answer, so that other
  /// hosts learn of them before the run ends.
  void OnCallsUnanswered(std::vector<LostCall> calls);
  /// Whether the fate of any leaf with lost calls is waited for. Otherwise
  /// observations have no effect.
  bool AwaitsObservations() const {
    return !runs_.empty() || !suspicions_.empty();
  }
  /// Appends what other hosts must learn to `actions`. Returns whether the
  /// observation says anything new about a leaf whose fate is waited for.
  bool OnLeafObserved(const LeafObservation& observation, Actions& actions);
  /// Records that discovery lists the incarnation `leaf` at `address`, so that
  /// no other incarnation runs there any more.
  void OnLeafListed(const std::string& leaf, const std::string& address,
                    Actions& actions);
  /// Sets how current the view of discovery is, which decides whether a leaf
  /// that answers again is the process that was called. Takes effect at the
  /// next Tick.
  void SetViewCurrency(const ViewCurrency& view) { view_ = view; }
  /// Records the end of a run. Appends what other hosts must learn to
  /// `actions`.
  void OnRunEnded(const EndedRun& run, Actions& actions);
  /// Forgets lost calls, since this process did not run for a while: calls may
  /// have been lost for this reason.
  void OnProcessPaused();

  /// Returns the leaves that should be checked now: those with lost calls of
  /// runs that no leaf has answered, and those that are checked for other
  /// hosts. Each leaf is returned at intervals, a few at a time.
  std::vector<std::string> LeavesToCheck();

  /// Merges an entry of another host; returns false if it was already known.
  /// `checks_leaves` is whether this host helps to find out the fate of the
  /// leaves of a held request, since the other host may be unable to reach
  /// them.
  bool Merge(const model::SuspectEntry& entry, bool checks_leaves = false);

  /// Removes expired entries, and appends suspicions that other hosts must
  /// learn to `actions`.
  void Tick(Actions& actions);
  std::size_t size() const { return quarantine_.Entries().entries.size(); }

 private:
  /// A lost call whose leaf's fate is not known yet.
  struct UnresolvedCall {
    LostCall call;
    base::TimePoint lost_at{};
    /// When a process with the leaf's id was first seen to answer again.
    std::optional<base::TimePoint> answered_at;
  };

  /// A leaf of a held request that this host checks for another one.
  struct CheckedLeaf {
    model::UnansweredLeaf leaf;
    std::optional<base::TimePoint> answered_at;
  };

  /// The evidence from one run.
  struct Run {
    std::uint64_t fingerprint = 0;
    std::vector<UnresolvedCall> unresolved;
    std::size_t crashed_leaves = 0;
    bool crashed_as_sole_call = false;
    bool probed_first = false;
    bool finished = false;
    /// When other hosts must learn of the lost calls, unless the fate of their
    /// leaves is known by then.
    std::optional<base::TimePoint> publish_at;
  };

  /// Calls of a request were lost, and it is not known whether their leaves
  /// have crashed.
  struct Suspicion {
    base::TimePoint until{};
    /// No attempt is admitted before these times, since this host or another
    /// one waits for the fate of a leaf.
    base::TimePoint held_until{};
    base::TimePoint held_by_others_until{};
    /// Other hosts know of it.
    bool shared = false;
    /// Leaves of a held request that this host checks for another one, and the
    /// time at which it learned of them.
    std::vector<CheckedLeaf> leaves_of_others;
    base::TimePoint learned_at{};
  };

  /// A suspicion was lifted. Entries of other hosts that still suspect the
  /// request have no effect for a while, since they may be late ones.
  struct Lifted {
    base::TimePoint until{};
    /// Such an entry has come. Its host may suspect the request anew, so it
    /// must learn of the next call that completes.
    bool reports_completion = false;
  };

  /// Applies `fate_of`, which takes an unresolved call, to all runs.
  template <typename FateOf>
  void ResolveCalls(FateOf fate_of, Actions& actions);
  /// Makes the request suspect or blocked if the evidence of the run suffices,
  /// and appends what other hosts must learn; returns true if no more evidence
  /// can follow.
  bool Conclude(Run& run, Actions& actions);
  /// Puts the request of a run with unresolved calls under suspicion.
  void Suspect(const Run& run);
  /// Ends this host's own suspicion of a request, since it is proven which of
  /// its leaves have crashed.
  void EndOwnSuspicion(std::uint64_t fingerprint);
  /// Lifts the suspicion of a request, since its lost calls are explained;
  /// `completed` is whether this is because a call has completed.
  void LiftSuspicion(std::uint64_t fingerprint, bool completed,
                     Actions& actions);
  /// Forgets the calls of a request that were lost before one completed.
  /// Returns whether there were any.
  bool ForgetLostCalls(std::uint64_t fingerprint);
  bool IsSuspected(std::uint64_t fingerprint) const;
  bool IsHeld(std::uint64_t fingerprint) const;
  bool IsHeldByOthers(std::uint64_t fingerprint) const;
  bool HasUnresolvedCalls(std::uint64_t fingerprint) const;
  void PublishSuspicion(std::uint64_t fingerprint, Actions& actions);
  /// Adds the leaves of the run whose fate is not known to an entry: those of
  /// sole calls, and the others.
  static void AddUnresolvedLeaves(const Run& run, model::SuspectEntry& entry);
  bool MergeSuspicion(const model::SuspectEntry& entry, bool checks_leaves);
  /// Whether this host itself waits for the fate of all leaves for which the
  /// entry holds its request.
  bool WaitsForLeavesOf(const model::SuspectEntry& entry) const;
  /// Applies an observation to held requests of other hosts. Returns the same
  /// as OnLeafObserved.
  bool ResolveForOthers(const LeafObservation& observation, Actions& actions);
  /// Returns what an observation says that is new about a leaf of a held
  /// request of another host.
  static LeafFate ObserveForOthers(const LeafObservation& observation,
                                   Suspicion& suspicion);
  /// Ends the wait for leaves that have answered, once discovery shows that
  /// they are the processes that were called, and for those that have shown
  /// nothing in time.
  void ResolveAlive(Actions& actions);
  void ResolveAliveForOthers(Actions& actions);
  bool IsAlive(const std::optional<base::TimePoint>& answered_at) const {
    return answered_at &&
           IsSameProcess(*answered_at, view_, restart_listed_within_);
  }

  const base::Clock& clock_;
  const std::chrono::milliseconds restart_listed_within_;
  ViewCurrency view_;
  quarantine::Quarantine quarantine_;
  /// Runs with lost calls by run id.
  std::unordered_map<std::uint64_t, Run> runs_;
  std::unordered_map<std::uint64_t, Suspicion> suspicions_;
  /// Requests whose suspicion was lifted a moment ago.
  std::unordered_map<std::uint64_t, Lifted> lifted_;
  /// When a leaf may be checked again, by id.
  std::unordered_map<std::string, base::TimePoint> next_checks_;
};

}  // namespace berylreach::forward
