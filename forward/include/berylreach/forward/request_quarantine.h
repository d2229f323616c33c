// Limits the damage by requests that crash the leaves that run them.
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
  /// Another attempt of the request is already running as a probe.
  kBusy,
  /// The request has crashed leaves and must not run.
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
/// over all hosts, and decides how the request may run. A lost connection alone
/// is no evidence: the leaf's process must also be found to have ended. A
/// request that completes on any leaf is not held responsible for other leaves
/// that ended at the same time, for example when many leaves fail together. Not
/// thread-safe.
class RequestQuarantine {
 public:
  using Actions = std::vector<quarantine::Action>;

  explicit RequestQuarantine(const base::Clock& clock);

  /// Decides on an attempt. A suspect request may run one attempt at a time: no
  /// other one is admitted until its outcome is known or `answer_due` has
  /// passed, so that a leaf that does not answer does not block further
  /// attempts. After kProbeFirst, the caller must call OnRunEnded or OnNotRun.
  RunPermit Admit(std::uint64_t fingerprint, base::TimePoint answer_due);
  /// The admitted attempt was refused for another reason and did not run.
  void OnNotRun(std::uint64_t fingerprint);
  /// Whether shards of the request may be run for another host, which may not
  /// know yet that the request is suspect.
  bool MayRunForOthers(std::uint64_t fingerprint) const;
  /// Time until a blocked request may be sent again.
  base::Duration BlockedFor(std::uint64_t fingerprint) const;

  /// Records a lost call until its leaf has been checked.
  void OnCallLost(LostCall call);
  /// Reports whether the process of a leaf with lost calls has `crashed`.
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
  struct Run {
    std::uint64_t fingerprint = 0;
    /// Lost calls whose leaves have not been checked yet.
    std::vector<LostCall> unchecked;
    std::size_t crashed_leaves = 0;
    bool crashed_as_sole_call = false;
    bool probed_first = false;
    bool finished = false;
  };

  /// Appends the conclusions from the evidence of the run; returns true if no
  /// more evidence can follow.
  bool Conclude(Run& run, Actions& actions);

  quarantine::Quarantine quarantine_;
  /// Runs with lost calls by run id.
  std::unordered_map<std::uint64_t, Run> runs_;
};

}  // namespace berylreach::forward
