// Delivery of reports, and the log lines and metrics of version shifts.
#include "berylreach/gateway/version_reporting.h"

#include <algorithm>
#include <random>
#include <utility>

#include "berylreach/forward/shift_controller.h"
#include "berylreach/gateway/version_report_codec.h"
#include "berylreach/host/log.h"
#include "label.h"

namespace berylreach::gateway {
namespace {

constexpr int kHttpOk = 200;

/// Number of hosts that get each report.
constexpr std::size_t kArbiters = 2;

/// Number of hosts, by rank, that are asked to accept a report.
constexpr std::size_t kMaxRank = 8;

constexpr std::chrono::seconds kAvoidTime{2};

/// Number of services with metrics of their own.
constexpr std::size_t kMaxMetricServices = 16;

std::uint64_t RandomIncarnation() {
  std::random_device random;
  return (static_cast<std::uint64_t>(random()) << 32U) | random();
}

std::string Describe(const forward::VersionShiftStatus& status) {
  std::string text = forward::ShiftStateName(status.state);
  if (!status.is_verdict())
    text.append(" ").append(forward::ShiftStageName(status.stage));
  text += " target=" + status.target_version +
          " step=" + std::to_string(status.step) +
          " order=" + std::to_string(status.order.revision) +
          " writer=" + status.writer;
  if (!status.cause.empty()) text += " cause: " + status.cause;
  return text;
}

}  // namespace

VersionReporting::VersionReporting(const base::Clock& clock, std::string self,
                                   const forward::ExposureLimits& limits,
                                   Send send)
    : clock_(clock),
      self_(std::move(self)),
      shifts_(clock, self_, RandomIncarnation()),
      send_(std::move(send)) {
  shifts_.SetLimits(limits);
}

void VersionReporting::SetHosts(std::vector<std::string> hosts) {
  hosts_ = hosts;
  arbiters_.clear();
  shifts_.SetHosts(std::move(hosts));
}

void VersionReporting::Tick() {
  LogChanges();
  for (forward::VersionShiftReport& report : shifts_.DueReports()) {
    auto delivery = std::make_shared<Delivery>();
    delivery->body = FormatVersionReport(report);
    delivery->report = std::move(report);
    delivery->needed = kArbiters;
    Deliver(delivery);
  }
}

void VersionReporting::Deliver(const std::shared_ptr<Delivery>& delivery) {
  const std::vector<std::string>& arbiters =
      ArbitersOf(delivery->report.service);
  while (delivery->needed > 0 && delivery->next_rank < arbiters.size()) {
    const std::string& host = arbiters[delivery->next_rank++];
    if (PassTo(host, delivery)) --delivery->needed;
  }
}

bool VersionReporting::PassTo(const std::string& host,
                              const std::shared_ptr<Delivery>& delivery) {
  if (host == self_) {
    const forward::VersionReportAnswer answer = Judge(delivery->report);
    shifts_.OnReportAnswer(answer);
    return answer.accepted;
  }
  const auto avoided = avoid_until_.find(host);
  if (avoided != avoid_until_.end()) {
    if (clock_.Now() < avoided->second) return false;
    avoid_until_.erase(avoided);
  }
  const auto call = send_(host, delivery->body);
  if (!call) return false;
  ++counters_.reports_sent;
  pending_[*call] = {host, delivery};
  return true;
}

bool VersionReporting::OnCallDone(forward::CallId call,
                                  const LeafConnections::Result& result) {
  const auto found = pending_.extract(call);
  if (found.empty()) return false;
  const PendingCall& pending = found.mapped();
  const auto* response = std::get_if<HttpResponse>(&result);
  const auto answer = response != nullptr && response->status == kHttpOk
                          ? ParseVersionReportAnswer(response->body)
                          : std::nullopt;
  if (answer) shifts_.OnReportAnswer(*answer);
  if (answer && answer->accepted) return true;
  ++counters_.reports_not_accepted;
  if (!answer) avoid_until_[pending.host] = clock_.Now() + kAvoidTime;
  ++pending.delivery->needed;
  Deliver(pending.delivery);
  return true;
}

std::optional<std::string> VersionReporting::OnReport(std::string_view body) {
  const auto report = ParseVersionReport(body);
  if (!report) {
    ++counters_.reports_malformed;
    return std::nullopt;
  }
  ++counters_.reports_received;
  return FormatVersionReportAnswer(Judge(*report));
}

forward::VersionReportAnswer VersionReporting::Judge(
    const forward::VersionShiftReport& report) {
  if (arbiter_) return arbiter_(report);
  return {.service = report.service};
}

const std::vector<std::string>& VersionReporting::ArbitersOf(
    const std::string& service) {
  const auto [entry, added] = arbiters_.try_emplace(service);
  if (added) {
    entry->second = forward::RankArbiters(service, hosts_);
    if (entry->second.size() > kMaxRank) entry->second.resize(kMaxRank);
  }
  return entry->second;
}

void VersionReporting::LogChanges() {
  const std::vector<forward::VersionShiftGauges> all = shifts_.Gauges();
  for (const forward::VersionShiftGauges& gauges : all) {
    LoggedState& logged = logged_[gauges.service];
    if (gauges.status != logged.status) {
      host::LogStateChange(
          "version_shift", gauges.service,
          gauges.status ? Describe(*gauges.status) : "no status is in force");
      logged.status = gauges.status;
    }
    if (gauges.stopped_here != logged.stopped_here) {
      logged.stopped_here = gauges.stopped_here;
      if (gauges.stopped_here)
        host::LogStateChange(
            "version_shift_stopped_here", gauges.service,
            "target=" + gauges.target_version +
                " calls=" + std::to_string(gauges.target.calls) +
                " failed=" + std::to_string(gauges.target.failed) +
                " slow=" + std::to_string(gauges.target.slow));
    }
  }
  if (logged_.size() == all.size()) return;
  std::erase_if(logged_, [&all](const auto& entry) {
    return std::none_of(all.begin(), all.end(), [&entry](const auto& gauges) {
      return gauges.service == entry.first;
    });
  });
}

void VersionReporting::AppendTo(std::string& text) const {
  const std::vector<forward::VersionShiftGauges> all = shifts_.Gauges();
  if (all.empty()) return;
  const auto add = [&text](std::string_view name, const std::string& labels,
                           std::uint64_t value) {
    text.append("berylreach_version_").append(name);
    if (!labels.empty()) text.append("{").append(labels).append("}");
    text.append(" ").append(std::to_string(value)).append("\n");
  };
  const std::size_t shown = std::min(all.size(), kMaxMetricServices);
  for (std::size_t i = 0; i < shown; ++i) {
    const forward::VersionShiftGauges& gauges = all[i];
    const std::string service =
        "service=\"" + EscapeLabel(gauges.service) + "\"";
    const auto add_version = [&](const char* version, std::uint64_t sent,
                                 const forward::VersionCounts& counts) {
      const std::string labels =
          service + ",version=\"" + std::string(version) + "\"";
      add("calls_sent_total", labels, sent);
      add("answers_total", labels, counts.calls);
      add("failed_answers_total", labels, counts.failed);
      add("slow_answers_total", labels, counts.slow);
    };
    add_version("target", gauges.target_calls_sent, gauges.target);
    add_version("other", gauges.other_calls_sent, gauges.others);
    add("shift_stopped_here", service, gauges.stopped_here ? 1 : 0);
    if (!gauges.status) continue;
    const forward::VersionShiftStatus& status = *gauges.status;
    add("shift_step",
        service + ",target=\"" + EscapeLabel(status.target_version) +
            "\",state=\"" + forward::ShiftStateName(status.state) +
            "\",stage=\"" + forward::ShiftStageName(status.stage) +
            "\",writer=\"" + EscapeLabel(status.writer) + "\"",
        status.step);
  }
  add("shifts", "", all.size());
  add("reports_sent_total", "", counters_.reports_sent);
  add("reports_not_accepted_total", "", counters_.reports_not_accepted);
  add("reports_received_total", "", counters_.reports_received);
  add("reports_malformed_total", "", counters_.reports_malformed);
  add("shift_reads_total", "", counters_.reads);
  add("shift_failed_reads_total", "", counters_.failed_reads);
  add("shift_writes_total", "", counters_.writes);
  add("shift_refused_writes_total", "", counters_.refused_writes);
  add("shift_lost_writes_total", "", counters_.lost_writes);
}

}  // namespace berylreach::gateway
