// Passes records, calls and answers to the shifts of their services.
#include "berylreach/forward/version_shifts.h"

#include <algorithm>
#include <utility>

#include "berylreach/base/hash.h"
#include "berylreach/forward/service_shift.h"

namespace berylreach::forward {

VersionShifts::VersionShifts(const base::Clock& clock, std::string self,
                             std::uint64_t incarnation)
    : clock_(clock), self_(std::move(self)), incarnation_(incarnation) {}

VersionShifts::~VersionShifts() = default;

void VersionShifts::SetHosts(std::vector<std::string> hosts) {
  hosts_ = std::move(hosts);
}

ServiceShift& VersionShifts::Ensure(const std::string& service) {
  std::unique_ptr<ServiceShift>& shift = shifts_[service];
  if (shift == nullptr)
    shift = std::make_unique<ServiceShift>(clock_, service,
                                           calls_[service].slowness);
  return *shift;
}

void VersionShifts::ApplyOrder(const std::string& service,
                               std::optional<VersionShiftOrder> order,
                               RecordSource source) {
  if (!order && !shifts_.contains(service)) return;
  const double slack_part =
      order ? SlackPart(limits_, self_, hosts_,
                        service + "/" + order->target_version)
            : 0;
  ServiceShift& shift = Ensure(service);
  shift.ApplyOrder(std::move(order), source, limits_.share, slack_part);
  if (shift.IsEmpty()) shifts_.erase(service);
}

void VersionShifts::ApplyStatus(const std::string& service,
                                std::optional<VersionShiftStatus> status) {
  if (!status && !shifts_.contains(service)) return;
  ServiceShift& shift = Ensure(service);
  shift.ApplyStatus(std::move(status));
  if (shift.IsEmpty()) shifts_.erase(service);
}

void VersionShifts::OnStoreRestored() {
  for (const auto& [service, shift] : shifts_) shift->OnStoreRestored();
}

std::optional<VersionPermit> VersionShifts::Permit(const std::string& service,
                                                   bool first_attempt) const {
  const auto found = shifts_.find(service);
  if (found == shifts_.end()) return std::nullopt;
  return found->second->Permit(first_attempt);
}

void VersionShifts::OnSent(const LeafRecord& leaf) {
  const LeafEntry& entry = leaf.entry();
  ++calls_[entry.service].running[entry.version];
  const auto found = shifts_.find(entry.service);
  if (found != shifts_.end()) found->second->OnSent(entry);
}

AnswerClass VersionShifts::OnEnded(const LeafRecord& leaf,
                                   const EndedCall& call) {
  const LeafEntry& entry = leaf.entry();
  ServiceCalls& calls = calls_[entry.service];
  const auto running = calls.running.find(entry.version);
  if (running != calls.running.end() && --running->second == 0)
    calls.running.erase(running);
  const auto found = shifts_.find(entry.service);
  ServiceShift* shift = found == shifts_.end() ? nullptr : found->second.get();
  const AnswerClass kind =
      shift == nullptr ? AnswerClass::kNotCounted : shift->OnEnded(leaf, call);
  const bool is_compared = shift == nullptr || shift->IsCompared(entry);
  if (is_compared && call.outcome == CallOutcome::kAnswered && !call.was_cold &&
      !call.suspect)
    calls.slowness.OnAnswer(call.route, entry.zone, leaf.distance(),
                            call.latency);
  return kind;
}

bool VersionShifts::HasOldCalls(const std::string& service,
                                const std::string& target_version) const {
  const auto found = calls_.find(service);
  if (found == calls_.end()) return false;
  const auto& running = found->second.running;
  return std::any_of(running.begin(), running.end(), [&](const auto& calls) {
    return calls.first != target_version;
  });
}

std::vector<VersionShiftReport> VersionShifts::DueReports() {
  std::vector<VersionShiftReport> reports;
  const std::uint64_t seed = base::Hash64(self_);
  for (auto at = shifts_.begin(); at != shifts_.end();) {
    ServiceShift& shift = *at->second;
    shift.Tick();
    if (shift.IsEmpty()) {
      at = shifts_.erase(at);
      continue;
    }
    auto report = shift.DueReport(
        hosts_.size(), seed, HasOldCalls(at->first, shift.target_version()));
    if (report) {
      report->host = self_;
      report->incarnation = incarnation_;
      report->sequence = ++sequence_;
      reports.push_back(std::move(*report));
    }
    ++at;
  }
  return reports;
}

void VersionShifts::OnReportAnswer(const VersionReportAnswer& answer) {
  const auto found = shifts_.find(answer.service);
  if (found != shifts_.end()) found->second->OnReportAnswer(answer);
}

const VersionShiftStatus* VersionShifts::Status(
    const std::string& service) const {
  const auto found = shifts_.find(service);
  return found == shifts_.end() ? nullptr : found->second->status();
}

std::vector<VersionShiftGauges> VersionShifts::Gauges() const {
  std::vector<VersionShiftGauges> gauges;
  gauges.reserve(shifts_.size());
  for (const auto& [service, shift] : shifts_)
    gauges.push_back(shift->Gauges());
  return gauges;
}

}  // namespace berylreach::forward
