// One host's part in the version shift of one service.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "berylreach/base/clock.h"
#include "berylreach/forward/exposure_limit.h"
#include "berylreach/forward/leaf_record.h"
#include "berylreach/forward/slowness_estimate.h"
#include "berylreach/forward/version_judge.h"
#include "berylreach/forward/version_permit.h"
#include "berylreach/forward/version_shift.h"
#include "berylreach/forward/version_shift_events.h"
#include "berylreach/forward/version_totals.h"

namespace berylreach::forward {

/// Keeps the order and the status in force for a service, limits its calls to
/// the target version, and counts the answers. Not thread-safe.
class ServiceShift {
 public:
  /// `slowness` is the estimate for the service; it must outlive this object.
  ServiceShift(const base::Clock& clock, std::string service,
               const SlownessEstimate& slowness);

  /// Applies the order. `slack_part` is this host's part of the slack.
  void ApplyOrder(std::optional<VersionShiftOrder> order, RecordSource source,
                  double share, double slack_part);
  void ApplyStatus(std::optional<VersionShiftStatus> status);
  void OnStoreRestored();
  /// Applies the store's content after a grace period, and judges this host's
  /// own counts.
  void Tick();

  std::optional<VersionPermit> Permit(bool first_attempt) const;
  void OnSent(const LeafEntry& leaf);
  AnswerClass OnEnded(const LeafRecord& leaf, const EndedCall& call);

  /// Returns the report that is due now, if any, without host, incarnation and
  /// sequence. `host_seed` spreads the first reports of hosts over time.
  std::optional<VersionShiftReport> DueReport(std::size_t hosts,
                                              std::uint64_t host_seed,
                                              bool old_calls_running);
  void OnReportAnswer(const VersionReportAnswer& answer);
  /// Records that a call to a leaf of another version than the target was sent
  /// or has ended.
  void OnOldCallsChanged();

  bool IsEmpty() const { return !order_ && !status_ && !stored_; }
  const VersionShiftStatus* status() const {
    return status_ ? &*status_ : nullptr;
  }
  const std::string& target_version() const { return target_; }
  bool IsTarget(const LeafEntry& leaf) const { return leaf.version == target_; }
  /// Whether the target is compared with the leaf's version; after its shift
  /// is complete, the next target is compared with it.
  bool IsCompared(const LeafEntry& leaf) const;
  VersionShiftGauges Gauges() const;

 private:
  /// Brings the status in force in line with the store's.
  void Reconcile();
  void Adopt(std::optional<VersionShiftStatus> status);
  /// Derives target and withheld versions from order and status.
  void UpdateVersions();
  /// Whether the status answers the order in force.
  bool AnswersOrder() const;
  bool IsRunning() const;
  bool IsFull() const;
  bool IsInGrace() const { return clock_.Now() < grace_until_; }
  /// Whether this host's own counts keep it from using the target.
  bool IsStopped() const;
  /// Whether the store has lost a verdict that this host knows.
  bool LacksVerdict() const;
  VersionUse TargetUse(bool first_attempt) const;
  AnswerClass Classify(const LeafRecord& leaf, const EndedCall& call) const;
  bool IsSlow(const LeafRecord& leaf, const EndedCall& call) const;
  void Count(const LeafRecord& leaf, const EndedCall& call, AnswerClass kind);
  /// Name under which the answers of a leaf of the target are counted.
  std::string RowOf(const LeafEntry& leaf, const std::string& route) const;
  /// Time since the order was first handled, if there is a status.
  std::chrono::milliseconds Elapsed() const;

  const base::Clock& clock_;
  const std::string service_;
  const SlownessEstimate& slowness_;
  std::optional<VersionShiftOrder> order_;
  /// The status in force, and the record in the store.
  std::optional<VersionShiftStatus> status_;
  std::optional<VersionShiftStatus> stored_;
  base::TimePoint status_seen_at_{};
  base::TimePoint grace_until_{};
  /// Whether the store came back from a copy, and its content has not become
  /// authoritative yet.
  bool restored_ = false;
  std::string target_;
  std::vector<std::string> withheld_;
  /// By target version: an order that returns to an earlier target does not get
  /// its slack again.
  std::map<std::string, ExposureLimit> limits_;
  double slack_part_ = 0;
  /// When a leaf of the zone last answered.
  std::map<std::string, base::TimePoint> answered_at_;
  VersionTotals totals_;
  std::unique_ptr<VersionJudge> judge_;
  std::optional<base::TimePoint> stopped_at_;
  std::uint64_t target_sent_ = 0;
  std::uint64_t others_sent_ = 0;
  base::TimePoint reported_at_{};
  bool changed_ = false;
  bool has_new_bad_ = false;
  bool confirmed_ = false;
  /// Whether this host has reported in kFull that it has no calls to other
  /// versions.
  bool has_left_others_ = false;
  /// Whether no arbiter has accepted the latest report yet.
  bool awaits_answer_ = false;
};

}  // namespace berylreach::forward
