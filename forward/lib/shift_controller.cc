// Passes events to the arbiters of services.
#include "berylreach/forward/shift_controller.h"

#include <utility>

#include "berylreach/forward/service_arbiter.h"

namespace berylreach::forward {

ShiftController::ShiftController(const base::Clock& clock, std::string self)
    : clock_(clock), self_(std::move(self)) {}

ShiftController::~ShiftController() = default;

ServiceArbiter& ShiftController::Ensure(const std::string& service) {
  std::unique_ptr<ServiceArbiter>& arbiter = services_[service];
  if (arbiter == nullptr) {
    arbiter = std::make_unique<ServiceArbiter>(clock_, self_, service);
    arbiter->SetHosts(hosts_);
  }
  return *arbiter;
}

void ShiftController::SetHosts(std::vector<std::string> hosts) {
  hosts_ = std::move(hosts);
  for (const auto& [service, arbiter] : services_) arbiter->SetHosts(hosts_);
}

void ShiftController::SetService(const std::string& service,
                                 ShiftedService facts) {
  const auto found = services_.find(service);
  if (found != services_.end()) found->second->SetFacts(std::move(facts));
}

void ShiftController::OnOrder(const std::string& service,
                              std::optional<VersionShiftOrder> order,
                              bool malformed, RecordSource source,
                              Actions& actions) {
  if (!order && !malformed && !services_.contains(service)) return;
  Ensure(service).OnOrder(std::move(order), malformed, source, actions);
}

void ShiftController::OnStatus(const std::string& service,
                               std::optional<VersionShiftStatus> status) {
  if (!status && !services_.contains(service)) return;
  Ensure(service).OnStatus(std::move(status));
}

void ShiftController::OnStoreRestored() {
  for (const auto& [service, arbiter] : services_) arbiter->OnStoreRestored();
}

void ShiftController::OnRecords(ShiftRecords records, Actions& actions) {
  const std::string service = records.service;
  Ensure(service).OnRecords(std::move(records), actions);
}

void ShiftController::OnReadFailed(const std::string& service) {
  Ensure(service).OnReadFailed();
}

void ShiftController::OnWritten(const std::string& service,
                                std::uint64_t status_revision,
                                Actions& actions) {
  Ensure(service).OnWritten(status_revision, actions);
}

void ShiftController::OnWriteConflict(const std::string& service) {
  Ensure(service).OnWriteConflict();
}

void ShiftController::OnWriteLost(const std::string& service) {
  Ensure(service).OnWriteLost();
}

VersionReportAnswer ShiftController::OnReport(
    const VersionShiftReport& report) {
  const auto found = services_.find(report.service);
  if (found == services_.end()) return {.service = report.service};
  return found->second->OnReport(report);
}

void ShiftController::Tick(Actions& actions) {
  for (const auto& [service, arbiter] : services_) arbiter->Tick(actions);
}

std::vector<std::string> ShiftController::Services() const {
  std::vector<std::string> services;
  for (const auto& [service, arbiter] : services_)
    if (arbiter->IsActive()) services.push_back(service);
  return services;
}

VersionCounts ShiftController::TargetCounts(const std::string& service) const {
  const auto found = services_.find(service);
  return found == services_.end() ? VersionCounts()
                                  : found->second->TargetCounts();
}

}  // namespace berylreach::forward
