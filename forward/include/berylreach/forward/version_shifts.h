// One host's part in the version shifts of services: which version a call may
// go to, and what the answers say about the target version.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "berylreach/base/clock.h"
#include "berylreach/forward/leaf_record.h"
#include "berylreach/forward/slowness_estimate.h"
#include "berylreach/forward/version_permit.h"
#include "berylreach/forward/version_shift.h"
#include "berylreach/forward/version_shift_events.h"

namespace berylreach::forward {

class ServiceShift;

/// Decides which versions the calls of services may go to, within this host's
/// part of the exposure limit, and counts the answers. Services without an
/// order and a status are not restricted. Not thread-safe.
class VersionShifts {
 public:
  /// `self` is the name of this host, and `incarnation` identifies its process.
  VersionShifts(const base::Clock& clock, std::string self,
                std::uint64_t incarnation);
  ~VersionShifts();
  VersionShifts(const VersionShifts&) = delete;
  VersionShifts& operator=(const VersionShifts&) = delete;

  void SetLimits(const ExposureLimits& limits) { limits_ = limits; }
  /// Sets the registered hosts, including this one.
  void SetHosts(std::vector<std::string> hosts);

  /// Applies the order for a service; empty if there is none or if it is
  /// malformed. A host that learns of an order by a listing may have used its
  /// part of the slack before it restarted, and gets none.
  void ApplyOrder(const std::string& service,
                  std::optional<VersionShiftOrder> order, RecordSource source);
  /// Applies the status record of a service; empty if there is none. A record
  /// that is older than what this host knows is ignored, and so is the lack of
  /// a verdict that this host knows, as long as the order stays.
  void ApplyStatus(const std::string& service,
                   std::optional<VersionShiftStatus> status);
  /// Records that the store has come back from an older copy of itself: for
  /// LeafDirectory::kStoreRestoreGrace, older records are not applied.
  void OnStoreRestored();

  /// Returns which versions the next call of `service` may go to; empty if the
  /// service is not restricted. `first_attempt` is false for retries and
  /// hedges.
  std::optional<VersionPermit> Permit(const std::string& service,
                                      bool first_attempt) const;

  /// Records that a call to the leaf is sent. To be called for each call.
  void OnSent(const LeafRecord& leaf);
  /// Records the end of a call that was passed to OnSent. To be called once for
  /// each call. Returns how the answer counts.
  AnswerClass OnEnded(const LeafRecord& leaf, const EndedCall& call);

  /// Returns the reports that are due now, and applies what waited for the end
  /// of a grace period. To be called at least every 100 ms. Each report goes to
  /// the first two hosts of RankArbiters that accept it.
  std::vector<VersionShiftReport> DueReports();
  /// Handles the answer of a host to a report. In kFull, a report is repeated
  /// until an arbiter has accepted it.
  void OnReportAnswer(const VersionReportAnswer& answer);

  /// Returns the status in force for a service, which may be newer than the
  /// store's; null if there is none.
  const VersionShiftStatus* Status(const std::string& service) const;
  std::vector<VersionShiftGauges> Gauges() const;

 private:
  ServiceShift& Ensure(const std::string& service);
  bool HasOldCalls(const std::string& service,
                   const std::string& target_version) const;

  const base::Clock& clock_;
  const std::string self_;
  const std::uint64_t incarnation_;
  ExposureLimits limits_;
  std::vector<std::string> hosts_;
  std::map<std::string, std::unique_ptr<ServiceShift>> shifts_;
  /// Calls and latencies of a service, also without a shift: calls that were
  /// sent before an order may outlast it, and hosts with few calls need long to
  /// estimate what is slow.
  struct ServiceCalls {
    /// Number of running calls by version.
    std::map<std::string, std::size_t> running;
    SlownessEstimate slowness;
  };

  std::unordered_map<std::string, ServiceCalls> calls_;
  std::uint64_t sequence_ = 0;
};

}  // namespace berylreach::forward
