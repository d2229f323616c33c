// A version shift of a service: the order, the status record, the counts of
// answers and the reports about them.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "berylreach/base/clock.h"

namespace berylreach::forward {

/// An operator's order to move the traffic of a service to the leaves of a
/// version.
struct VersionShiftOrder {
  std::string service;
  std::string target_version;
  /// The shift is due this long after the order.
  std::chrono::milliseconds duration{};

  friend bool operator==(const VersionShiftOrder&,
                         const VersionShiftOrder&) = default;
};

enum class ShiftState { kRunning, kComplete, kRolledBack };

/// Stage of a shift that is running.
enum class ShiftStage {
  /// The target version gets a part of the exposure limit.
  kObserve,
  /// The target version gets its full load for a short time.
  kLoad,
  /// All calls go to the target version.
  kFull,
};

/// Identifies an order. A store that has come back from a copy gives its
/// revisions out again, so the era in which the order was first handled belongs
/// to the identity.
struct ShiftOrderId {
  /// Era of the store; 0 if the store states none.
  std::uint64_t era = 0;
  /// Revision of the order's record.
  std::uint64_t revision = 0;

  // clang-tidy mistakes the 0 in the rewritten comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const ShiftOrderId&, const ShiftOrderId&) = default;
};

/// The status record of a service.
struct VersionShiftStatus {
  std::string service;
  ShiftState state = ShiftState::kRunning;
  /// Meaningful while the state is kRunning.
  ShiftStage stage = ShiftStage::kObserve;
  std::string target_version;
  /// The order that the record answers.
  ShiftOrderId order;
  /// Increases with each write for the same order.
  std::uint64_t step = 0;
  /// Time from when the order was first handled until the record was written.
  std::chrono::milliseconds elapsed{};
  std::chrono::milliseconds duration{};
  /// Versions of earlier orders that were replaced before they were complete or
  /// were rolled back. They are used only if no leaf of another version is
  /// listed. At most kMaxWithheldVersions, the latest last.
  std::vector<std::string> withheld;
  /// Name of the host that wrote the record.
  std::string writer;
  std::string cause;

  static constexpr std::size_t kMaxWithheldVersions = 8;

  /// Whether the state is final for the order.
  bool is_verdict() const { return state != ShiftState::kRunning; }

  friend bool operator==(const VersionShiftStatus&,
                         const VersionShiftStatus&) = default;
};

/// Whether `a` supersedes `b`: it answers a later order, or for the same order
/// it is a verdict and the other one is not, or it has a higher step.
bool IsNewer(const VersionShiftStatus& a, const VersionShiftStatus& b);

/// Counts of answers. A slow answer that also failed counts as failed only.
struct VersionCounts {
  std::uint64_t calls = 0;
  std::uint64_t failed = 0;
  std::uint64_t slow = 0;

  std::uint64_t bad() const { return failed + slow; }
  VersionCounts& operator+=(const VersionCounts& other);

  friend bool operator==(const VersionCounts&, const VersionCounts&) = default;
};

/// Answers of one leaf of the target version, or of the other versions' leaves
/// of a zone, to calls of one route.
struct VersionCountsRow {
  std::string route;
  std::string zone;
  /// Id of the target version's leaf; empty for the other versions.
  std::string leaf;
  VersionCounts counts;

  friend bool operator==(const VersionCountsRow&,
                         const VersionCountsRow&) = default;
};

/// What a host reports to the arbiters of a service. The counts are cumulative
/// since the host learned of the order.
struct VersionShiftReport {
  std::string host;
  /// Identifies the process of the host; the counts of another process start
  /// anew.
  std::uint64_t incarnation = 0;
  /// Increases with each report of the process.
  std::uint64_t sequence = 0;
  std::string service;
  std::string target_version;
  /// The status that the host acts on; the step is 0 if it has none.
  ShiftOrderId order;
  std::uint64_t step = 0;
  ShiftState state = ShiftState::kRunning;
  ShiftStage stage = ShiftStage::kObserve;
  /// The host's estimate of the time since the order was first handled.
  std::chrono::milliseconds elapsed{};
  /// Whether calls of the host to leaves of other versions are running.
  bool old_calls_running = false;
  std::vector<VersionCountsRow> rows;

  friend bool operator==(const VersionShiftReport&,
                         const VersionShiftReport&) = default;
};

/// Answer to a report.
struct VersionReportAnswer {
  std::string service;
  /// Whether the host judges reports now. If not, for example because it does
  /// not reach the store, the reporting host asks the next one by rank.
  bool accepted = false;
  /// The status that the answering host knows; the step is 0 if it has none.
  ShiftOrderId order;
  std::uint64_t step = 0;

  friend bool operator==(const VersionReportAnswer&,
                         const VersionReportAnswer&) = default;
};

/// Bounds on what a version that turns out bad may get.
struct ExposureLimits {
  /// Maximum share of the calls of a service that reach the target version,
  /// plus `slack` calls, over all hosts.
  double share = 0.1;
  double slack = 50;
  /// Time from the 50th bad answer until the last call reaches the version.
  std::chrono::milliseconds rollback_time{5000};

  friend bool operator==(const ExposureLimits&,
                         const ExposureLimits&) = default;
};

/// Names for logs, metrics and records: "running", "complete", "rolled_back"
/// and "observe", "load", "full".
const char* ShiftStateName(ShiftState state);
const char* ShiftStageName(ShiftStage stage);

}  // namespace berylreach::forward
