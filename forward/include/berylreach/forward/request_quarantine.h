// Limits the number of leaves that are crashed by a request that crashes each
// leaf that runs it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "berylreach/base/clock.h"
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
  /// Refused: the request has crashed leaves and must not run.
  kBlocked,
};

/// A call whose connection was lost before the answer.
struct LostCall {
  /// Identifies the run within this process.
  std::uint64_t run = 0;
  std::uint64_t fingerprint = 0;
  /// Id of the leaf incarnation.
  std::string leaf;
  /// No other call of the request was running, and an earlier leaf may have
  /// crashed while it ran the request.
  bool sole_call = false;
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
/// over all hosts, and decides how the request may run. A lost connection by
/// itself is no evidence: a check must also find that the leaf's process has
/// ended. A request that completes on any leaf is not held responsible for
/// other leaves that crashed at the same time, for example when many leaves
/// fail together. Not thread-safe.
class RequestQuarantine {
 public:
  using Actions = std::vector<quarantine::Action>;

  explicit RequestQuarantine(const base::Clock& clock);

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
  /// Time until a blocked request may be sent again.
  base::Duration BlockedFor(std::uint64_t fingerprint) const;

  /// Records a lost call, which counts as evidence only after OnLeafChecked.
  void OnCallLost(LostCall call);
  /// Records whether the process of a leaf with lost calls has `crashed`.
  /// Appends what other hosts must learn to `actions`.
  void OnLeafChecked(const std::string& leaf, bool crashed, Actions& actions);
  /// Records the end of a run. Appends what other hosts must learn to
  /// `actions`.
  void OnRunEnded(const EndedRun& run, Actions& actions);

  /// Merges an entry of another host; returns false if it was already known.
  bool Merge(const model::SuspectEntry& entry);

  /// Removes expired entries.
  void Tick() { quarantine_.Tick(); }
  std::size_t size() const { return quarantine_.Entries().entries.size(); }

 private:
  /// The evidence from one run.
  struct Run {
    std::uint64_t fingerprint = 0;
    /// Lost calls whose leaves have not been checked yet.
    std::vector<LostCall> unchecked;
    std::size_t crashed_leaves = 0;
    bool crashed_as_sole_call = false;
    bool probed_first = false;
    bool finished = false;
  };

  /// Makes the request suspect or blocked if the evidence of the run suffices,
  /// and appends what other hosts must learn; returns true if no more evidence
  /// can follow.
  bool Conclude(Run& run, Actions& actions);

  quarantine::Quarantine quarantine_;
  /// Runs with lost calls by run id.
  std::unordered_map<std::uint64_t, Run> runs_;
};

}  // namespace berylreach::forward
