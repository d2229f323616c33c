// What the reports of hosts say about the shift of a service.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "berylreach/base/clock.h"
#include "berylreach/forward/version_judge.h"
#include "berylreach/forward/version_shift.h"
#include "berylreach/forward/version_totals.h"

namespace berylreach::forward {

/// Sums the cumulative counts of all hosts for one order. Lost, repeated and
/// reordered reports do no harm, and the counts of a process that has ended
/// are kept. Not thread-safe.
class ShiftEvidence {
 public:
  ShiftEvidence(const base::Clock& clock, ShiftOrderId order);

  const ShiftOrderId& order() const { return order_; }

  /// Adds a report for this order; an outdated one is ignored.
  void Add(const VersionShiftReport& report);
  /// Judges the counts. See VersionJudge::Update.
  void Judge(bool others_in_use, std::size_t target_leaves);

  const VersionJudge& judge() const { return *judge_; }
  const VersionTotals& totals() const { return totals_; }
  /// Whether hosts report to this one now, and not only to others.
  bool HasRecentReports() const;
  /// The highest step that a host acts on.
  std::uint64_t highest_step() const { return highest_step_; }
  /// The latest estimate of the time since the order was first handled.
  base::Duration Elapsed() const;

  /// Whether none of `hosts` sends calls to other versions any more, or has
  /// such calls running. kFull is in force since `step`; reports from before
  /// `since` do not show that. After `settle_time` from then it is in force at
  /// hosts that have not reported it, and the calls that they had sent before
  /// have ended.
  bool IsSettled(const std::vector<std::string>& hosts, std::uint64_t step,
                 base::TimePoint since, base::Duration settle_time) const;

 private:
  /// The latest report of a host.
  struct Host {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    std::set<std::uint64_t> former_incarnations;
    std::uint64_t step = 0;
    ShiftStage stage = ShiftStage::kObserve;
    bool old_calls_running = false;
    base::TimePoint received_at{};
    VersionTotals counts;
  };

  void AddCounts(Host& host, const std::vector<VersionCountsRow>& rows);

  const base::Clock& clock_;
  const ShiftOrderId order_;
  std::map<std::string, Host> hosts_;
  VersionTotals totals_;
  std::unique_ptr<VersionJudge> judge_;
  std::uint64_t highest_step_ = 0;
  std::optional<base::TimePoint> received_at_;
  /// When the order was first handled, by the estimates of the reports.
  std::optional<base::TimePoint> started_at_;
};

}  // namespace berylreach::forward
