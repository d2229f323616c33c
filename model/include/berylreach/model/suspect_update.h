// Publication of suspect and blocked fingerprints.
#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

namespace berylreach::model {

/// What is known of a fingerprint.
enum class SuspectState : std::uint8_t {
  kSuspect,  ///< Ran on a leaf that died.
  kCleared,  ///< Completed alone after being suspect.
  kBlocked,  ///< A leaf died while it ran alone.
};

/// One entry of the quarantine table. Entries merge by the higher `deaths`,
/// then by state; the leaves of equal suspects add up.
struct SuspectEntry {
  std::uint64_t fingerprint = 0;
  SuspectState state = SuspectState::kSuspect;
  /// Leaves that died while the fingerprint ran on them.
  std::uint32_t crashes = 0;
  /// Remaining lifetime of the entry. Relative, because host clocks are not
  /// comparable.
  std::chrono::milliseconds expires_in{0};
  /// Of a suspect: hashes of the leaves that died under its canaries, sorted.
  /// Two of them block it.
  std::vector<std::uint64_t> canary_leaves;

  friend bool operator==(const SuspectEntry&, const SuspectEntry&) = default;
};

/// Changed or complete entries of the sender's quarantine table.
struct SuspectUpdate {
  std::vector<SuspectEntry> entries;

  friend bool operator==(const SuspectUpdate&, const SuspectUpdate&) = default;
};

}  // namespace berylreach::model
