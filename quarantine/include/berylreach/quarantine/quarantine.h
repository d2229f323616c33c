// Quarantine of requests that crash leaves. It lets such a request crash no
// more than two of them.
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

/// The quarantine table of one host (design 3.9).
///
/// A suspect request runs only through its arbiter (ArbiterOf), which grants
/// one run at a time; the leaf's owner accepts a call marked `exclusive` only
/// from the arbiter. A crash of the leaf while the request runs alone on it
/// blocks the fingerprint, and so do crashes of two leaves under canaries of
/// the request, on whatever hosts. Crashes under a proven request, whose calls
/// run beside others, only make it suspect, however many leaves crash together:
/// a zone that loses power must not block the requests that were running there.
class Quarantine {
 public:
  static constexpr std::size_t kProvenCapacity = 100000;
  /// Lifetime of every entry, including blocks.
  static constexpr base::Duration kEntryLifetime = std::chrono::minutes(10);
  /// Minimum remaining lifetime with which an unknown entry is merged. Without
  /// it, two hosts whose copies expire at slightly different times would revive
  /// each other's copy for ever.
  static constexpr base::Duration kMinMergeLifetime = std::chrono::seconds(1);
  /// Maximum time for which a run granted by an earlier arbiter can still last:
  /// the serving lease (1.5 s) plus the clock margin (200 ms).
  static constexpr base::Duration kArbiterHoldOff =
      std::chrono::milliseconds(1700);
  /// Time within which an owner recognises the crash of a leaf, by a refused
  /// connection or a new incarnation.
  static constexpr base::Duration kUnknownOutcomeHoldOff =
      std::chrono::seconds(2);
  /// Time within which a crash of a leaf is pushed to all hosts: five times the
  /// 20 ms between regions. A refusal asks its caller not to retry earlier, so
  /// that a retry at another host finds the request already suspect there.
  static constexpr base::Duration kPropagationTime =
      std::chrono::milliseconds(100);

  explicit Quarantine(const base::Clock& clock,
                      std::size_t proven_capacity = kProvenCapacity)
      : clock_(clock), proven_(proven_capacity) {}

  /// Returns how far requests with this fingerprint are trusted.
  TrustLevel TrustLevelOf(std::uint64_t fingerprint) const;

  /// Time until the entry of `fingerprint` expires; zero if it has none.
  base::Duration ExpiresIn(std::uint64_t fingerprint) const;

  /// Records that a call completed that did not run alone. Proves an unproven
  /// fingerprint; does not clear a suspect one.
  void OnCompleted(std::uint64_t fingerprint);

  /// Records that a suspect request completed alone: it is cleared and proven.
  void OnCompletedAlone(std::uint64_t fingerprint, std::vector<Action>& out);

  /// Records that a leaf crashed while it ran `running`. The leaf's owner and
  /// the entry host of each call report the same crash; the second report
  /// changes nothing.
  void OnLeafCrash(const std::vector<RunningCall>& running,
                   std::vector<Action>& out);

  /// Blocks a request that has lost two leaves, such as a canary and its hedge.
  void OnSecondCrash(std::uint64_t fingerprint, std::vector<Action>& out);

  /// Records that the owner of a leaf answered that the fingerprint is suspect,
  /// before the push of its entry has arrived here.
  void OnSuspectReportedByOwner(std::uint64_t fingerprint);

  /// Merges entries of another host; returns whether the table changed.
  /// Idempotent and commutative: the higher pair (crashes, state) wins, and the
  /// leaves of equal suspects are united.
  bool Merge(const model::SuspectUpdate& update);

  /// Returns all entries that have not expired, ordered by fingerprint.
  model::SuspectUpdate Entries() const;

  /// Hash of the entries without their lifetimes; equal on hosts with equal
  /// entries.
  std::uint64_t Digest() const;

  /// At the arbiter: time for which the run of a suspect canary must wait, so
  /// that crashes under the same request at other hosts, which received it at
  /// the same instant, become known first. Zero if the fingerprint is not
  /// suspect.
  base::Duration CanaryHoldOff(std::uint64_t fingerprint) const;

  /// Increases whenever a trust level may have dropped.
  std::uint64_t revision() const { return revision_; }

  /// At the arbiter: requests to run a suspect alone, until `until` at the
  /// latest.
  Grant TryStartAlone(std::uint64_t fingerprint, base::TimePoint until);

  /// At the arbiter: the granted run has ended. Unless its outcome is `known`
  /// (completed, proven not run, or a recognised crash), no other run is
  /// granted for kUnknownOutcomeHoldOff, within which the leaf's owner finds
  /// out whether the leaf crashed.
  void OnAloneEnded(std::uint64_t fingerprint, bool known);

  /// The set of members changed. Runs granted by an earlier arbiter may still
  /// be in progress, so no run is granted for kArbiterHoldOff.
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
    /// Time at which this host learned of the state.
    base::TimePoint since{};
    /// Sorted; at most kFatalCrashes of them.
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
  /// Adds the leaves of another report on the same suspect; returns whether any
  /// of them were new.
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
