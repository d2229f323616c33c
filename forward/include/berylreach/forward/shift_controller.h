// Decides the steps of version shifts: which status is written when, and by
// which host.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "berylreach/base/clock.h"
#include "berylreach/forward/shift_actions.h"
#include "berylreach/forward/version_shift.h"
#include "berylreach/forward/version_shift_events.h"

namespace berylreach::forward {

class ServiceArbiter;

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
  ServiceArbiter& Ensure(const std::string& service);

  const base::Clock& clock_;
  const std::string self_;
  std::vector<std::string> hosts_;
  std::map<std::string, std::unique_ptr<ServiceArbiter>> services_;
};

}  // namespace berylreach::forward
