// Measurement of the control cost of hosts.
#include "control_run.h"

#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <set>
#include <string>
#include <utility>

#include "berylreach/config/head_record_codec.h"
#include "fleet.h"

namespace berylreach::capacity {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Resolution of the measured adoption times.
constexpr milliseconds kSimulationStep{5};
constexpr seconds kReadyTimeout{30};
// Time after which leaf statuses, takeovers and first leases are stable.
constexpr seconds kSettleTime{10};
// Long enough for a killed host to be removed from the membership before it is
// started again.
constexpr seconds kDownTime{4};

std::uint64_t ResidentBytes() {
  std::ifstream statm("/proc/self/statm");
  std::uint64_t size = 0;
  std::uint64_t resident = 0;
  statm >> size >> resident;
  return resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

}  // namespace

ControlRun::ControlRun(const ControlLoad& load)
    : load_(load), world_(FleetEnvironment(load.leaves, load.replicas), 1) {}

void ControlRun::WriteHeadRecord() {
  model::StoreRequest write;
  write.operation = model::StoreOperation::kCompareAndSwap;
  write.key = "production/head";
  write.value = config::EncodeHeadRecord(FleetHeadRecord(load_.hosts, {}, 0));
  world_.store().Call(write, [](const model::StoreResult&) {});
  world_.RunFor(seconds(1));
}

bool ControlRun::Start() {
  // The head record names all hosts as members from the start, because joining
  // one after the other takes time cubic in the number of hosts.
  WriteHeadRecord();
  // Gives the host list an index; a list without one counts as changed at each
  // poll.
  world_.SetLeaving({});
  const std::uint64_t before = ResidentBytes();
  for (std::size_t i = 0; i < load_.hosts; ++i)
    world_.StartHost(HostName(i), HostZone(i));
  world_.RunFor(seconds(3));
  if (!world_.Submit(world_.environment())) return false;
  if (!world_.RunUntil([this] { return AllReady(); }, kReadyTimeout))
    return false;
  world_.RunFor(kSettleTime);
  resident_bytes_ = ResidentBytes() - before;
  return AllReady();
}

bool ControlRun::AllReady() const {
  for (std::size_t i = 0; i < load_.hosts; ++i) {
    if (!world_.Ready(HostName(i))) return false;
  }
  return true;
}

std::uint64_t ControlRun::MinDocumentVersion() const {
  std::uint64_t min_version = ~std::uint64_t{0};
  for (std::size_t i = 0; i < load_.hosts; ++i) {
    const core::HostCore* core = world_.Core(HostName(i));
    if (core != nullptr)
      min_version = std::min(min_version, core->document().version);
  }
  return min_version;
}

void ControlRun::SubmitChange() {
  model::Environment next = world_.environment();
  model::Leaf& leaf = next.services.back().leaves.front();
  leaf.slots = 1 + static_cast<std::uint32_t>(++submitted_changes_ % 1000);
  world_.SubmitLater(next, [this](std::uint64_t version) {
    pending_adoptions_.emplace(version, world_.Now());
  });
}

void ControlRun::RestartHost() {
  // Restarts all hosts but the first in turn, so that the delegates are among
  // them. The first host keeps running, because its epoch is read at the end.
  const std::size_t index = 1 + restarts_++ % (load_.hosts - 1);
  world_.KillHost(HostName(index));
  world_.After(kDownTime, [this, index] {
    world_.StartHost(HostName(index), HostZone(index));
  });
}

void ControlRun::ChangeHostList() {
  std::set<std::string> leaving;
  for (std::size_t i = 0; i < load_.leaving_nodes; ++i)
    leaving.insert("retired-node-" +
                   std::to_string(100000 + i + list_changes_));
  ++list_changes_;
  world_.SetLeaving(leaving);
}

void ControlRun::AdvanceOneStep() {
  world_.RunFor(kSimulationStep);
  if (pending_adoptions_.empty()) return;
  const std::uint64_t min_version = MinDocumentVersion();
  while (!pending_adoptions_.empty() &&
         pending_adoptions_.begin()->first <= min_version) {
    adoption_times_.push_back(std::chrono::duration_cast<milliseconds>(
        world_.Now() - pending_adoptions_.begin()->second));
    pending_adoptions_.erase(pending_adoptions_.begin());
  }
}

void ControlRun::Measure() {
  const std::uint64_t list_calls = world_.host_list_calls();
  first_epoch_ = world_.Core(HostName(0))->epoch();
  world_.SetObserver(&traffic_);
  const base::TimePoint start = world_.Now();
  const auto is_due = [&](double per_second, std::size_t done) {
    const double passed =
        std::chrono::duration<double>(world_.Now() - start).count();
    return per_second > 0 &&
           passed * per_second >= static_cast<double>(done) + 0.5;
  };
  while (world_.Now() - start < seconds(load_.seconds)) {
    if (is_due(load_.changes_per_second, submitted_changes_)) SubmitChange();
    if (is_due(load_.restarts_per_minute / 60, restarts_)) RestartHost();
    if (is_due(load_.list_changes_per_minute / 60, list_changes_))
      ChangeHostList();
    AdvanceOneStep();
  }
  world_.SetObserver(nullptr);
  host_list_calls_ = world_.host_list_calls() - list_calls;
}

std::uint64_t ControlRun::epochs() const {
  return world_.Core(HostName(0))->epoch() - first_epoch_;
}

}  // namespace berylreach::capacity
