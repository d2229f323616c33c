// Quarantine of requests that crash the leaves that run them. Its aim is that
// such a request crashes no more than two leaves; docs/design.md, section 3.9,
// has the exceptions.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "berylreach/base/clock.h"
#include "berylreach/model/suspect_update.h"
#include "berylreach/quarantine/action.h"
#include "berylreach/quarantine/grant.h"
#include "berylreach/quarantine/proven_set.h"
#include "berylreach/quarantine/running_call.h"
#include "berylreach/quarantine/trust_level.h"

namespace berylreach::quarantine {

/// The quarantine table of one host (docs/design.md, section 3.9).
///
/// A suspect request runs only through its arbiter (ArbiterOf), which grants
/// one run at a time; the leaf's owner accepts a call marked `exclusive` only
/// from the arbiter. If the leaf crashes while the request runs exclusively on
/// it, the fingerprint is blocked. It is also blocked if two leaves crash while
/// they run canaries of the request, even if different hosts sent these. A
/// proven request, whose calls run beside other calls, only becomes suspect
/// when leaves that run it crash, however many crash together: the loss of
/// power in a zone must not block the requests that were running there.
class Quarantine {
 public:
  static constexpr std::size_t kProvenCapacity = 100000;
  /// Lifetime of every entry, including blocks.
  static constexpr base::Duration kEntryLifetime = std::chrono::minutes(10);
  /// Minimum remaining lifetime with which an unknown entry is merged. Without
  /// this limit, two hosts whose copies expire at slightly different times
  /// would renew each other's copy forever.
  static constexpr base::Duration kMinMergeLifetime = std::chrono::seconds(1);
  /// Maximum time for which a run granted by an earlier arbiter can still last:
  /// the serving lease (1.5 s) plus the clock margin (200 ms).
  static constexpr base::Duration kArbiterHoldOff =
      std::chrono::milliseconds(1700);
  /// Time within which the owner of a leaf recognises that the leaf has
  /// crashed, by a refused connection or a new incarnation.
  static constexpr base::Duration kUnknownOutcomeHoldOff =
      std::chrono::seconds(2);
  /// Time within which all hosts learn of the crash of a leaf: five times the
  /// transit time of 20 ms between regions. A refusal asks the caller not to
  /// retry earlier, so that a retry at another host finds the request already
  /// suspect there.
  static constexpr base::Duration kPropagationTime =
      std::chrono::milliseconds(100);

  explicit Quarantine(const base::Clock& clock,
                      std::size_t proven_capacity = kProvenCapacity)
      : clock_(clock), proven_(proven_capacity) {}

  /// Returns how far requests with this fingerprint are trusted.
  TrustLevel TrustLevelOf(std::uint64_t fingerprint) const;

  /// Time until the entry of `fingerprint` expires; zero if it has none.
  base::Duration ExpiresIn(std::uint64_t fingerprint) const;

  /// Records that a call completed that did not run exclusively. An unproven
  /// fingerprint becomes proven; a suspect one stays suspect.
  void OnCompleted(std::uint64_t fingerprint);

  /// Records that a suspect request completed an exclusive call: it is cleared
  /// and proven.
  void OnCompletedExclusive(std::uint64_t fingerprint,
                            std::vector<Action>& out);

  /// Records that a leaf crashed while it ran `running`. The leaf's owner and
  /// the entry host of each call, which received the request from the caller,
  /// report the same crash; the second report changes nothing.
  void OnLeafCrash(const std::vector<RunningCall>& running,
                   std::vector<Action>& out);

  /// Blocks a request under which two leaves have crashed, such as those of a
  /// canary and of its hedge.
  void OnSecondCrash(std::uint64_t fingerprint, std::vector<Action>& out);

  /// Records that the owner of a leaf answered that the fingerprint is suspect,
  /// if the published entry has not arrived here yet.
  void OnSuspectReportedByOwner(std::uint64_t fingerprint);

  /// Merges entries of another host; returns whether the table changed.
  /// Idempotent and commutative: the higher pair (crashes, state) wins, and the
  /// canary leaves of suspects with equal pairs are united.
  bool Merge(const model::SuspectUpdate& update);

  /// Returns all entries that have not expired, ordered by fingerprint.
  model::SuspectUpdate Entries() const;

  /// Hash of the entries without their lifetimes; equal on hosts with equal
  /// entries.
  std::uint64_t Digest() const;

  /// At the arbiter: time for which the run of a suspect canary must wait, so
  /// that crashes at other hosts that received the same request at the same
  /// time become known first. Zero if the fingerprint is not suspect.
  base::Duration CanaryHoldOff(std::uint64_t fingerprint) const;

  /// Increases whenever a trust level may have dropped.
  std::uint64_t revision() const { return revision_; }

  /// At the arbiter: decides whether a suspect request may run exclusively now.
  /// The grant ends at `until` unless OnExclusiveEnded ends it earlier.
  Grant TryStartExclusive(std::uint64_t fingerprint, base::TimePoint until);

  /// At the arbiter: records that the granted run has ended. Unless
  /// `outcome_known` (completed, proven not run, or a recognised crash), no
  /// other run is granted for kUnknownOutcomeHoldOff, within which the leaf's
  /// owner finds out whether the leaf crashed.
  void OnExclusiveEnded(std::uint64_t fingerprint, bool outcome_known);

  /// Records that the set of members changed. Runs granted by an earlier
  /// arbiter may still be in progress, so no run is granted for
  /// kArbiterHoldOff.
  void OnMembersChanged();

  /// Removes expired entries and grants.
  void Tick();

  /// Time at which Tick must be called next; empty if the table is empty.
  std::optional<base::TimePoint> NextWakeup() const;

 private:
  struct Entry {
    model::SuspectState state = model::SuspectState::kSuspect;
    std::uint32_t crashes = 0;
    base::TimePoint expires{};
    /// Time at which this host learned of this entry.
    base::TimePoint learned_at{};
    /// Ids of the leaves that crashed under canaries of the request (LeafIdOf),
    /// in ascending order; at most kFatalCrashes of them.
    std::vector<std::uint64_t> canary_leaves{};

    bool IsBlocked() const;
  };

  /// Returns the entry of `fingerprint`; null if there is none or it has
  /// expired.
  const Entry* Find(std::uint64_t fingerprint) const;
  /// Sets an entry with a full lifetime and appends its publication to `out`.
  void SetAndPublish(std::uint64_t fingerprint, Entry entry,
                     std::vector<Action>& out);
  /// Sets an entry that this host learns of now.
  void Set(std::uint64_t fingerprint, Entry entry);
  /// Adds the canary leaves of another report on the same suspect; returns
  /// whether any of them were new.
  bool AddLeaves(Entry& entry, const std::vector<std::uint64_t>& leaves);
  bool MergeEntry(const model::SuspectEntry& incoming);
  model::SuspectEntry ToModel(std::uint64_t fingerprint,
                              const Entry& entry) const;

  const base::Clock& clock_;
  ProvenSet proven_;
  std::map<std::uint64_t, Entry> entries_;
  std::unordered_map<std::uint64_t, base::TimePoint> grants_;
  base::TimePoint no_grants_before_{};
  std::uint64_t revision_ = 0;
};

}  // namespace berylreach::quarantine
