// Requests that end the leaves that run them.
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
  kUnrestricted,
  /// One call first; the others when it has completed.
  kProbeFirst,
  /// Another attempt of the request is running alone.
  kBusy,
  /// The request has ended leaves and is not run.
  kBlocked,
};

/// A call whose connection ended before the answer.
struct LostCall {
  /// Names the run in this process.
  std::uint64_t run = 0;
  std::uint64_t fingerprint = 0;
  /// Id of the leaf's incarnation.
  std::string leaf;
  /// Nothing else of the request was running, and an earlier leaf may have
  /// ended under it.
  bool alone = false;
};

/// The end of a run.
struct EndedRun {
  std::uint64_t run = 0;
  std::uint64_t fingerprint = 0;
  /// It began with one call (RunPermit::kProbeFirst).
  bool probed_first = false;
  /// A leaf completed one of its calls.
  bool completed = false;
};

/// Counts, per fingerprint and over all hosts, the leaves that ended under a
/// request, and decides how it may run. A lost connection alone is no evidence:
/// the leaf must be found ended too. A request that completes on any leaf is
/// not held responsible for others that ended under it at the same time, as
/// when many leaves fail together. Not thread-safe.
class RequestQuarantine {
 public:
  using Actions = std::vector<quarantine::Action>;

  explicit RequestQuarantine(const base::Clock& clock);

  /// Decides on an attempt. If it may run as a suspect, no other one does until
  /// its outcome is known or `answer_due`, so that a leaf that stays silent
  /// does not hold up the others. kProbeFirst must be followed by OnRunEnded or
  /// OnNotRun.
  RunPermit Admit(std::uint64_t fingerprint, base::TimePoint answer_due);
  /// The attempt was refused for another reason.
  void OnNotRun(std::uint64_t fingerprint);
  /// Whether shards of the request may be run for another host, which may not
  /// have heard of its suspicion.
  bool MayRunForOthers(std::uint64_t fingerprint) const;
  /// When a blocked request may come back.
  base::Duration BlockedFor(std::uint64_t fingerprint) const;

  void OnCallLost(LostCall call);
  /// Whether the leaf of lost calls has `ended`. Appends what other hosts must
  /// learn.
  void OnLeafChecked(const std::string& leaf, bool ended, Actions& actions);
  void OnRunEnded(const EndedRun& run, Actions& actions);

  /// Takes over what another host has learned; false if it was known.
  bool Merge(const model::SuspectEntry& entry);

  void Tick() { quarantine_.Tick(); }
  std::size_t size() const { return quarantine_.Entries().entries.size(); }

 private:
  struct Run {
    std::uint64_t fingerprint = 0;
    /// Calls whose leaves have not been checked.
    std::vector<LostCall> unchecked;
    std::size_t ended_leaves = 0;
    bool ended_leaf_alone = false;
    bool probed_first = false;
    bool over = false;
  };

  /// Appends what the evidence of the run shows; true if nothing more is to
  /// come.
  bool Conclude(Run& run, Actions& actions);

  quarantine::Quarantine quarantine_;
  /// Runs with lost calls.
  std::unordered_map<std::uint64_t, Run> runs_;
};

}  // namespace berylreach::forward
