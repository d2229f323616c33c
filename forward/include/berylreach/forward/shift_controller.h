// Decides the steps of version shifts: which status is written when, and by
// which host.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "berylreach/base/clock.h"
#include "berylreach/forward/leaf_directory.h"
#include "berylreach/forward/version_shift.h"
#include "berylreach/forward/version_shifts.h"

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

/// The arbiter's decisions for all services. Each host runs one; the first by
/// rank acts at once, and a host of rank r acts if the due action has not
/// happened r seconds after it was due. At most one read or write of a service
/// is pending at a time. Events append their actions to `actions`; the caller
/// executes them in order. Not thread-safe.
class ShiftController {
 public:
  using Actions = std::vector<ShiftAction>;

  ShiftController(const base::Clock& clock, std::string self);
  ~ShiftController();
  ShiftController(const ShiftController&) = delete;
  ShiftController& operator=(const ShiftController&) = delete;

  /// Sets the registered hosts, including this one.
  void SetHosts(std::vector<std::string> hosts);
  /// Sets what is known of a service. To be called when it changes, and each
  /// time after an order.
  void SetService(const std::string& service, ShiftedService facts);

  /// Handle the records of this host's view of the store. `malformed` tells
  /// that there is an order which cannot be parsed; `order` is then empty.
  void OnOrder(const std::string& service,
               std::optional<VersionShiftOrder> order, bool malformed,
               RecordSource source, Actions& actions);
  void OnStatus(const std::string& service,
                std::optional<VersionShiftStatus> status);
  /// Handles the return of the store from an older copy of itself.
  void OnStoreRestored();

  /// Handle the results of ReadShiftRecords.
  void OnRecords(ShiftRecords records, Actions& actions);
  void OnReadFailed(const std::string& service);
  /// Handle the results of WriteShiftStatus. OnWriteLost is for a write that
  /// was not answered or was answered by an error: it may have been executed,
  /// or may be executed later.
  void OnWritten(const std::string& service, std::uint64_t status_revision,
                 Actions& actions);
  void OnWriteConflict(const std::string& service);
  void OnWriteLost(const std::string& service);

  /// Handles the report of a host, this one's included, and returns the answer.
  VersionReportAnswer OnReport(const VersionShiftReport& report);

  /// Decides what is due now. To be called at least every 100 ms.
  void Tick(Actions& actions);

  /// Names of the services with an order or a running shift.
  std::vector<std::string> Services() const;
  /// Number of answers that the reports state for a service.
  VersionCounts TargetCounts(const std::string& service) const;

 private:
  class Service;

  Service& Ensure(const std::string& service);

  const base::Clock& clock_;
  const std::string self_;
  std::vector<std::string> hosts_;
  std::map<std::string, std::unique_ptr<Service>> services_;
};

}  // namespace berylreach::forward
