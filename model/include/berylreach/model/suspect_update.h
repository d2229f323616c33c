// The message that publishes suspect and blocked fingerprints.
#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

namespace berylreach::model {

/// What is known about a fingerprint.
enum class SuspectState : std::uint8_t {
  kSuspect,  ///< A leaf crashed while running it.
  kCleared,  ///< Completed while running alone on a leaf, after being suspect.
  kBlocked,  ///< A leaf crashed while running it alone.
};

/// One entry of the quarantine table. When two entries of a fingerprint are
/// merged, the one with more `crashes` wins, then the one with the higher
/// state; the canary leaves of otherwise equal suspects are united.
struct SuspectEntry {
  std::uint64_t fingerprint = 0;
  SuspectState state = SuspectState::kSuspect;
  /// Number of leaf crashes while the fingerprint was running on the leaf.
  std::uint32_t crashes = 0;
  /// Time until the entry expires. It is relative because the clocks of two
  /// hosts are not comparable.
  std::chrono::milliseconds expires_in{0};
  /// For a suspect: sorted hashes of the leaves that crashed while running its
  /// canary calls. Two such leaves block the fingerprint.
  std::vector<std::uint64_t> canary_leaves;

  friend bool operator==(const SuspectEntry&, const SuspectEntry&) = default;
};

/// Entries of the sender's quarantine table: the changed ones or all.
struct SuspectUpdate {
  std::vector<SuspectEntry> entries;

  friend bool operator==(const SuspectUpdate&, const SuspectUpdate&) = default;
};

}  // namespace berylreach::model
