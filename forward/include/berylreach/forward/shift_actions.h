// What the arbiter of a version shift knows of a service, and its actions.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "berylreach/base/clock.h"
#include "berylreach/forward/leaf_directory.h"
#include "berylreach/forward/version_shift.h"

namespace berylreach::forward {

/// Returns `hosts` in descending order of their weight for the service. The
/// first ones are its arbiters.
std::vector<std::string> RankArbiters(const std::string& service,
                                      std::vector<std::string> hosts);

/// Number of a version's listed leaves.
struct VersionLeaves {
  std::size_t listed = 0;
  /// Those that are usable and not cold.
  std::size_t warm = 0;

  friend bool operator==(const VersionLeaves&, const VersionLeaves&) = default;
};

/// What the controller needs to know of a service.
struct ShiftedService {
  /// By version. Counts usable leaves.
  std::map<std::string, VersionLeaves> leaves;
  /// The longest timeout of the routes that use the service.
  std::chrono::milliseconds longest_timeout{};

  friend bool operator==(const ShiftedService&,
                         const ShiftedService&) = default;
};

/// Counts the usable leaves of a service by version.
std::map<std::string, VersionLeaves> CountVersions(
    const LeafDirectory& directory, const std::string& service,
    base::TimePoint now);

/// The order and the status of a service, as read from the store by
/// linearizable reads. The status must be read after the order.
struct ShiftRecords {
  std::string service;
  /// Era of the store; 0 if it states none.
  std::uint64_t era = 0;
  /// 0 if the record does not exist.
  std::uint64_t order_revision = 0;
  /// Empty if the record does not exist or is malformed.
  std::optional<VersionShiftOrder> order;
  std::uint64_t status_revision = 0;
  std::optional<VersionShiftStatus> status;

  friend bool operator==(const ShiftRecords&, const ShiftRecords&) = default;
};

/// Action: read the order and the status of the service, then call OnRecords or
/// OnReadFailed.
struct ReadShiftRecords {
  std::string service;

  friend bool operator==(const ReadShiftRecords&,
                         const ReadShiftRecords&) = default;
};

/// Action: write the status if both records still have these revisions, then
/// call OnWritten, OnWriteConflict or OnWriteLost.
struct WriteShiftStatus {
  VersionShiftStatus status;
  std::uint64_t expect_order_revision = 0;
  std::uint64_t expect_status_revision = 0;

  friend bool operator==(const WriteShiftStatus&,
                         const WriteShiftStatus&) = default;
};

/// Action: log a change of state of the service's shift.
struct LogShift {
  std::string service;
  std::string text;

  friend bool operator==(const LogShift&, const LogShift&) = default;
};

using ShiftAction = std::variant<ReadShiftRecords, WriteShiftStatus, LogShift>;

}  // namespace berylreach::forward
