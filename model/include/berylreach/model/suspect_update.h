// The message that publishes suspect and blocked fingerprints.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace berylreach::model {

/// What is known about the requests with one fingerprint.
enum class SuspectState : std::uint8_t {
  kSuspect,  ///< A leaf crashed while running such a request.
  kCleared,  ///< After being suspect, such a request completed a call that ran
             ///< exclusively on its leaf.
  kBlocked,  ///< A leaf crashed while running such a request exclusively, or
             ///< two leaves crashed while running the same request.
};

/// A leaf that left a call unanswered.
struct UnansweredLeaf {
  std::string id;
  /// Start time of the process that was called, in Unix milliseconds by the
  /// leaf's clock; 0 if it is not known. A leaf may start again under its id.
  std::uint64_t started_unix_ms = 0;

  friend bool operator==(const UnansweredLeaf&,
                         const UnansweredLeaf&) = default;
};

/// One entry of the quarantine table. When two entries of a fingerprint are
/// merged, the one with more `crashes` wins, then the one with the higher
/// state; if both are equal and the state is kSuspect, the lists of canary
/// leaves are merged.
struct SuspectEntry {
  std::uint64_t fingerprint = 0;
  SuspectState state = SuspectState::kSuspect;
  /// Number of leaf crashes that made the fingerprint suspect or blocked; at
  /// least 2 if `state` is kBlocked. A crash that only adds a canary leaf is
  /// not counted. 0 if calls were lost and it is not known yet whether their
  /// leaves have crashed, or if it has been found out that they have not
  /// (kCleared).
  std::uint32_t crashes = 0;
  /// Time until the entry expires. It is relative because the clocks of two
  /// hosts are not comparable.
  std::chrono::milliseconds expires_in{0};
  /// For a suspect: sorted hashes of the leaves that crashed while running its
  /// canary calls. Two such leaves block the fingerprint.
  std::vector<std::uint64_t> canary_leaves;
  /// Time for which no attempt should be admitted, since the outcome of one is
  /// not known yet.
  std::chrono::milliseconds hold_for{0};
  /// The leaves that left the attempt with the unknown outcome unanswered.
  std::vector<UnansweredLeaf> unanswered_leaves;
  /// Ids of other leaves that left a call of the request unanswered. They may
  /// be down.
  std::vector<std::string> doubtful_leaves;
  /// For kCleared: a call of the request has completed, so that calls that were
  /// lost before are explained at all hosts.
  bool completed = false;

  friend bool operator==(const SuspectEntry&, const SuspectEntry&) = default;
};

/// Entries of the sender's quarantine table: either those that changed or all.
struct SuspectUpdate {
  std::vector<SuspectEntry> entries;

  friend bool operator==(const SuspectUpdate&, const SuspectUpdate&) = default;
};

}  // namespace berylreach::model
