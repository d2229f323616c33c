// Keeps requests that kill their leaf from killing more than two.
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
#include "berylreach/quarantine/standing.h"

namespace berylreach::quarantine {

/// The quarantine table of one host (design 3.9).
///
/// A suspect runs only through its arbiter (ArbiterOf), which grants one run at
/// a time; the leaf's owner accepts a call marked `alone` only from the
/// arbiter. A death while running alone blocks the fingerprint, and so do the
/// deaths of two leaves under its canaries, from whatever hosts. Deaths in the
/// company of a proven request only make suspects, however many leaves die
/// together: a zone that loses power must not block the requests that were
/// running there.
class Quarantine {
 public:
  static constexpr std::size_t kProvenCapacity = 100000;
  /// Lifetime of every entry, and so of a block.
  static constexpr base::Duration kEntryLifetime = std::chrono::minutes(10);
  /// An unknown entry with less left is not taken over. Otherwise two hosts
  /// whose copies expire at slightly different times would revive them for
  /// ever.
  static constexpr base::Duration kLeastLifetime = std::chrono::seconds(1);
  /// Longest time that a run granted by an earlier arbiter can still last: the
  /// serving lease (1.5 s) plus the clock margin (200 ms).
  static constexpr base::Duration kArbiterHoldOff =
      std::chrono::milliseconds(1700);
  /// An owner recognises a leaf's death by a refused connection or a new
  /// incarnation within this time.
  static constexpr base::Duration kUnknownOutcomeHoldOff =
      std::chrono::seconds(2);
  /// A leaf death is pushed to all hosts within this time: five times the 20 ms
  /// between regions. A refusal asks its caller not to come back earlier, so
  /// that a repeat at another host meets the suspicion there.
  static constexpr base::Duration kPropagationTime =
      std::chrono::milliseconds(100);

  explicit Quarantine(const base::Clock& clock,
                      std::size_t proven_capacity = kProvenCapacity)
      : clock_(clock), proven_(proven_capacity) {}

  TrustLevel TrustLevelOf(std::uint64_t fingerprint) const;

  /// Time until the entry of `fingerprint` expires; zero if there is none.
  base::Duration ExpiresIn(std::uint64_t fingerprint) const;

  /// A call completed in company. Proves an unproven fingerprint; does not
  /// clear a suspect.
  void OnCompleted(std::uint64_t fingerprint);

  /// A suspect completed alone: it is cleared and proven.
  void OnCompletedAlone(std::uint64_t fingerprint, std::vector<Action>& out);

  /// A leaf died while `running` ran on it. Reported by the leaf's owner and
  /// again by the entry host of each call; the second report changes nothing.
  void OnLeafCrash(const std::vector<RunningCall>& running,
                   std::vector<Action>& out);

  /// One request has lost two leaves, such as a canary and its hedge: blocks
  /// it.
  void OnSecondCrash(std::uint64_t fingerprint, std::vector<Action>& out);

  /// The owner of a leaf has answered that the fingerprint is suspect, and its
  /// push has not arrived yet.
  void OnSuspectReportedByOwner(std::uint64_t fingerprint);

  /// Takes over entries of another host; returns whether the table changed.
  /// Idempotent and commutative: the higher (deaths, state) wins, and the
  /// leaves of equal suspects add up.
  bool Merge(const model::SuspectUpdate& update);

  /// All entries that have not expired, ordered by fingerprint.
  model::SuspectUpdate Entries() const;

  /// Equal on hosts with equal entries, whatever their order; lifetimes aside.
  std::uint64_t Digest() const;

  /// At the arbiter: how long the run of a suspect canary must wait, so that
  /// deaths of the same request at other hosts, which got it at the same
  /// instant, are heard first. Zero if the fingerprint is no suspect.
  base::Duration CanaryHoldOff(std::uint64_t fingerprint) const;

  /// Rises whenever a standing may have become worse.
  std::uint64_t revision() const { return revision_; }

  /// At the arbiter: asks to run a suspect alone until `until` at the latest.
  Grant TryStartAlone(std::uint64_t fingerprint, base::TimePoint until);

  /// At the arbiter: the granted run has ended. Unless its outcome is `known`
  /// (completed, proven not run, or a recognised death), no other run is
  /// granted for kUnknownOutcomeHoldOff, in which the leaf's owner finds out
  /// whether the leaf died.
  void OnAloneEnded(std::uint64_t fingerprint, bool known);

  /// The set of members changed: runs of an earlier arbiter may still be in
  /// progress, so no run is granted for kArbiterHoldOff.
  void OnMembersChanged();

  /// Removes expired entries and grants.
  void Tick();

  /// When Tick is next needed; nothing if the table is empty.
  std::optional<base::TimePoint> NextWakeup() const;

 private:
  struct Entry {
    model::SuspectState state = model::SuspectState::kSuspect;
    std::uint32_t crashes = 0;
    base::TimePoint expires{};
    /// When this host learned of the state.
    base::TimePoint since{};
    /// Sorted, at most kFatalDeaths of them.
    std::vector<std::uint64_t> canary_leaves{};

    bool Blocked() const;
  };

  const Entry* Find(std::uint64_t fingerprint) const;
  void Put(std::uint64_t fingerprint, Entry entry, std::vector<Action>& out);
  void Store(std::uint64_t fingerprint, Entry entry);
  /// Adds the leaves of another report of the same suspicion; returns whether
  /// there were new ones.
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
