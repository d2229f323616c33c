// Sums the reports of hosts.
#include "berylreach/forward/shift_evidence.h"

#include <algorithm>

namespace berylreach::forward {
namespace {

/// Hosts whose counts change report at least this often.
constexpr std::chrono::seconds kRecent{3};

/// Returns what `now` adds to `before`; nothing if it is lower, which a report
/// of the same process never is.
VersionCounts Growth(const VersionCounts& now, const VersionCounts& before) {
  if (now.calls < before.calls || now.failed < before.failed ||
      now.slow < before.slow)
    return {};
  return {.calls = now.calls - before.calls,
          .failed = now.failed - before.failed,
          .slow = now.slow - before.slow};
}

}  // namespace

ShiftEvidence::ShiftEvidence(const base::Clock& clock, ShiftOrderId order)
    : clock_(clock),
      order_(order),
      judge_(std::make_unique<VersionJudge>(clock)) {}

void ShiftEvidence::Add(const VersionShiftReport& report) {
  if (report.order != order_) return;
  Host& host = hosts_[report.host];
  if (host.former_incarnations.contains(report.incarnation)) return;
  if (report.incarnation != host.incarnation) {
    if (host.sequence > 0) host.former_incarnations.insert(host.incarnation);
    host.incarnation = report.incarnation;
    host.counts = VersionTotals();
  } else if (report.sequence <= host.sequence) {
    return;
  }
  host.sequence = report.sequence;
  host.step = report.step;
  host.stage = report.stage;
  host.old_calls_running = report.old_calls_running;
  host.received_at = clock_.Now();
  received_at_ = clock_.Now();
  highest_step_ = std::max(highest_step_, report.step);
  const base::TimePoint started = clock_.Now() - report.elapsed;
  if (!started_at_ || started < *started_at_) started_at_ = started;
  AddCounts(host, report.rows);
}

void ShiftEvidence::AddCounts(Host& host,
                              const std::vector<VersionCountsRow>& rows) {
  for (VersionCountsRow row : rows) {
    const VersionCounts before =
        row.leaf.empty() ? host.counts.OthersIn(row.route, row.zone)
                         : host.counts.TargetAt(row.route, row.leaf);
    row.counts = Growth(row.counts, before);
    if (row.counts.calls == 0) continue;
    host.counts.Add(row);
    totals_.Add(row);
  }
}

void ShiftEvidence::Judge(bool others_in_use, std::size_t target_leaves) {
  judge_->Update(totals_, others_in_use, target_leaves);
}

bool ShiftEvidence::HasRecentReports() const {
  return received_at_ && clock_.Now() - *received_at_ < kRecent;
}

base::Duration ShiftEvidence::Elapsed() const {
  return started_at_ ? clock_.Now() - *started_at_ : base::Duration::zero();
}

bool ShiftEvidence::IsSettled(const std::vector<std::string>& hosts,
                              std::uint64_t step, base::TimePoint since,
                              base::Duration settle_time) const {
  const base::TimePoint now = clock_.Now();
  return std::all_of(hosts.begin(), hosts.end(), [&](const std::string& name) {
    const auto found = hosts_.find(name);
    if (found == hosts_.end()) return now - since >= settle_time;
    const Host& host = found->second;
    const bool has_old_calls =
        host.old_calls_running && now - host.received_at < settle_time;
    const bool confirmed = host.step >= step && host.stage == ShiftStage::kFull;
    return !has_old_calls && (confirmed || now - since >= settle_time);
  });
}

}  // namespace berylreach::forward
