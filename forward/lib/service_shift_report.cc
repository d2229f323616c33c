// When a host reports to the arbiters of a service, and what.
#include <algorithm>

#include "berylreach/forward/service_shift.h"

namespace berylreach::forward {
namespace {

using std::chrono::milliseconds;

/// Interval of reports while the counts change, in fleets of up to
/// kSmallFleet hosts. In larger ones it grows with the number of hosts, so that
/// the arbiter gets a bounded number of messages.
constexpr milliseconds kInterval{500};
constexpr milliseconds kMaxInterval{2000};
constexpr std::chrono::microseconds kIntervalPerHost{2500};
constexpr std::size_t kSmallFleet = 200;

/// Minimum time between two reports if there is a new bad answer.
constexpr milliseconds kBadInterval{100};

base::Duration ReportInterval(std::size_t hosts) {
  if (hosts <= kSmallFleet) return kInterval;
  return std::min<base::Duration>(kIntervalPerHost * hosts, kMaxInterval);
}

}  // namespace

std::optional<VersionShiftReport> ServiceShift::DueReport(
    std::size_t hosts, std::uint64_t host_seed, bool old_calls_running) {
  if (!IsRunning() && !LacksVerdict()) return std::nullopt;
  const bool owes_report =
      changed_ || awaits_answer_ || LacksVerdict() || (IsFull() && !confirmed_);
  if (!owes_report) return std::nullopt;
  const base::TimePoint now = clock_.Now();
  const base::Duration interval = ReportInterval(hosts);
  // Hosts of a large fleet learn of a new status at the same time.
  const base::Duration spread =
      hosts <= kSmallFleet
          ? base::Duration::zero()
          : base::Duration(static_cast<base::Duration::rep>(
                host_seed % static_cast<std::uint64_t>(interval.count())));
  base::TimePoint due =
      std::max(reported_at_ + interval, status_seen_at_ + spread);
  if (has_new_bad_) due = std::min(due, reported_at_ + kBadInterval);
  if (now < due) return std::nullopt;
  reported_at_ = now;
  changed_ = false;
  has_new_bad_ = false;
  awaits_answer_ = true;
  const bool uses_others = old_calls_running || (IsFull() && IsStopped());
  if (IsFull() && !uses_others) has_left_others_ = true;
  return VersionShiftReport{.service = service_,
                            .target_version = target_,
                            .order = status_->order,
                            .step = status_->step,
                            .state = status_->state,
                            .stage = status_->stage,
                            .elapsed = Elapsed(),
                            .old_calls_running = uses_others,
                            .rows = totals_.Rows()};
}

void ServiceShift::OnReportAnswer(const VersionReportAnswer& answer) {
  if (!status_ || !answer.accepted) return;
  awaits_answer_ = false;
  if (answer.order == status_->order && answer.step >= status_->step)
    confirmed_ = true;
}

}  // namespace berylreach::forward
