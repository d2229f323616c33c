// The message that publishes suspect and blocked fingerprints.
#pragma once

#include <chrono>
#include <cstdint>
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

/// One entry of the quarantine table. When two entries of a fingerprint are
/// merged, the one with more `crashes` wins, then the one with the higher
/// state; if both are equal and the state is kSuspect, the lists of canary
/// leaves are merged.
struct SuspectEntry {
  std::uint64_t fingerprint = 0;
  SuspectState state = SuspectState::kSuspect;
  /// Number of leaf crashes that made the fingerprint suspect or blocked; at
  /// least 2 if `state` is kBlocked. A crash that only adds a canary leaf is
  /// not counted.
  std::uint32_t crashes = 0;
  /// Time until the entry expires. It is relative because the clocks of two
  /// hosts are not comparable.
  std::chrono::milliseconds expires_in{0};
  /// For a suspect: sorted hashes of the leaves that crashed while running its
  /// canary calls. Two such leaves block the fingerprint.
  std::vector<std::uint64_t> canary_leaves;

  friend bool operator==(const SuspectEntry&, const SuspectEntry&) = default;
};

/// Entries of the sender's quarantine table: either those that changed or all.
struct SuspectUpdate {
  std::vector<SuspectEntry> entries;

  friend bool operator==(const SuspectUpdate&, const SuspectUpdate&) = default;
};

}  // namespace berylreach::model
