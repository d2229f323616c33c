// A host's part as arbiter of one service's version shift.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "berylreach/base/clock.h"
#include "berylreach/forward/shift_actions.h"
#include "berylreach/forward/shift_evidence.h"
#include "berylreach/forward/shift_step.h"
#include "berylreach/forward/version_shift.h"
#include "berylreach/forward/version_shift_events.h"

namespace berylreach::forward {

/// Decides when this host reads the records of a service and writes its status.
/// See ShiftController for the events. Not thread-safe.
class ServiceArbiter {
 public:
  using Actions = std::vector<ShiftAction>;

  ServiceArbiter(const base::Clock& clock, std::string self,
                 std::string service);

  void SetHosts(const std::vector<std::string>& hosts);
  void SetFacts(ShiftedService facts);
  void OnOrder(std::optional<VersionShiftOrder> order, bool malformed,
               RecordSource source, Actions& actions);
  void OnStatus(std::optional<VersionShiftStatus> status);
  void OnStoreRestored();
  void OnRecords(ShiftRecords records, Actions& actions);
  void OnReadFailed();
  void OnWritten(std::uint64_t status_revision, Actions& actions);
  void OnWriteConflict();
  void OnWriteLost();
  VersionReportAnswer OnReport(const VersionShiftReport& report);
  void Tick(Actions& actions);

  /// Whether there is an order or a running shift.
  bool IsActive() const;
  VersionCounts TargetCounts() const;

 private:
  enum class Pending { kNone, kRead, kWrite };

  /// A step that is due, and since when.
  struct DueStep {
    VersionShiftStatus status;
    base::TimePoint since{};
  };

  const std::optional<VersionShiftOrder>& Order() const;
  bool IsMalformed() const;
  /// Whether the known status answers the order in force.
  bool AnswersOrder() const;
  /// Whether the store was read and its order is the one of the known status.
  bool ReadSameOrder() const;
  void SetKnown(std::optional<VersionShiftStatus> status);
  /// Whether the status brings back a shift that this host knows as complete,
  /// which the store has lost.
  bool IsReturnToComplete(const VersionShiftStatus& status) const;
  /// The status that the store lacks, as it may be written now.
  VersionShiftStatus LackingStatus() const;
  /// Applies the status that was read, or notes that the store lacks the known
  /// one.
  void CompareWithStored();
  void UpdateGone();
  void Forget();
  void OnCallFailed();
  bool IsInGrace() const { return clock_.Now() < grace_until_; }
  base::Duration Elapsed() const;
  base::Duration SettleTime() const;
  ShiftSituation Situation() const;
  /// The status that is due, with state, stage and cause.
  std::optional<VersionShiftStatus> Next() const;
  /// Time from when a step is due until this host takes it.
  base::Duration Delay(const VersionShiftStatus& next) const;
  void Read(Actions& actions);
  void Write(VersionShiftStatus next, Actions& actions);

  const base::Clock& clock_;
  const std::string self_;
  const std::string service_;
  std::vector<std::string> hosts_;
  std::size_t rank_ = 0;
  std::optional<ShiftedService> facts_;
  std::optional<base::TimePoint> target_gone_since_;
  std::optional<base::TimePoint> others_gone_since_;
  bool target_was_listed_ = false;
  /// When a leaf of the target was listed again, after none had been.
  base::TimePoint target_back_at_{};
  /// The order in this host's view of the store.
  std::optional<VersionShiftOrder> order_;
  bool malformed_ = false;
  base::TimePoint order_seen_at_{};
  /// Whether the order was written again since the known status, so that its
  /// revision must be read.
  bool maybe_repeated_ = false;
  /// The newest status that this host knows.
  std::optional<VersionShiftStatus> known_;
  base::TimePoint known_at_{};
  /// The latest order whose shift was complete.
  std::optional<ShiftOrderId> completed_order_;
  base::TimePoint stage_since_{};
  /// The records as read last; empty if they may have changed since.
  std::optional<ShiftRecords> records_;
  /// Whether the store lacks the known status.
  bool is_lacking_ = false;
  /// Whether the records must be read although no step is due.
  std::optional<base::TimePoint> check_since_;
  /// The latest era of the store that a read has stated; 0 if none.
  std::uint64_t era_ = 0;
  base::TimePoint grace_until_{};
  std::optional<DueStep> due_;
  Pending pending_ = Pending::kNone;
  base::TimePoint pending_since_{};
  VersionShiftStatus written_;
  base::TimePoint retry_at_{};
  std::optional<base::TimePoint> failed_at_;
  std::unique_ptr<ShiftEvidence> evidence_;
};

}  // namespace berylreach::forward
