// Hosts without caller requests in virtual time.
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

constexpr milliseconds kStep{5};
constexpr seconds kReadyLimit{30};
// Statuses, takeovers and first leases have settled after this time.
constexpr seconds kSettle{10};
// A killed host is removed from the membership before it is started again.
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

void ControlRun::WriteHead() {
  model::StoreRequest write;
  write.operation = model::StoreOperation::kCompareAndSwap;
  write.key = "production/head";
  write.value = config::EncodeHeadRecord(FleetHead(load_.hosts, {}, 0));
  world_.store().Call(write, [](const model::StoreResult&) {});
  world_.RunFor(seconds(1));
}

bool ControlRun::Start() {
  // All hosts are members from the start: joining one after the other takes
  // time cubic in their number.
  WriteHead();
  // A list without an index counts as changed at each poll.
  world_.SetLeaving({});
  const std::uint64_t before = ResidentBytes();
  for (std::size_t i = 0; i < load_.hosts; ++i)
    world_.StartHost(HostName(i), HostZone(i));
  world_.RunFor(seconds(3));
  if (!world_.Submit(world_.environment())) return false;
  if (!world_.RunUntil([this] { return AllReady(); }, kReadyLimit))
    return false;
  world_.RunFor(kSettle);
  resident_bytes_ = ResidentBytes() - before;
  return AllReady();
}

bool ControlRun::AllReady() const {
  for (std::size_t i = 0; i < load_.hosts; ++i) {
    if (!world_.Ready(HostName(i))) return false;
  }
  return true;
}

std::uint64_t ControlRun::LeastDocument() const {
  std::uint64_t least = ~std::uint64_t{0};
  for (std::size_t i = 0; i < load_.hosts; ++i) {
    const core::HostCore* core = world_.Core(HostName(i));
    if (core != nullptr) least = std::min(least, core->document().version);
  }
  return least;
}

void ControlRun::SubmitChange() {
  model::Environment next = world_.environment();
  model::Leaf& leaf = next.services.back().leaves.front();
  leaf.slots = 1 + static_cast<std::uint32_t>(++changes_ % 1000);
  world_.SubmitLater(next, [this](std::uint64_t version) {
    pending_.emplace(version, world_.Now());
  });
}

void ControlRun::RestartHost() {
  // Every host but the first in turn, so that the delegates are among them.
  const std::size_t index = 1 + restarts_++ % (load_.hosts - 1);
  world_.KillHost(HostName(index));
  world_.After(kDownTime, [this, index] {
    world_.StartHost(HostName(index), HostZone(index));
  });
}

void ControlRun::ChangeHostList() {
  std::set<std::string> leaving;
  for (std::size_t i = 0; i < load_.listed; ++i)
    leaving.insert("retired-node-" +
                   std::to_string(100000 + i + list_changes_));
  ++list_changes_;
  world_.SetLeaving(leaving);
}

void ControlRun::Step() {
  world_.RunFor(kStep);
  if (pending_.empty()) return;
  const std::uint64_t least = LeastDocument();
  while (!pending_.empty() && pending_.begin()->first <= least) {
    in_force_after_.push_back(std::chrono::duration_cast<milliseconds>(
        world_.Now() - pending_.begin()->second));
    pending_.erase(pending_.begin());
  }
}

void ControlRun::Measure() {
  const std::uint64_t list_calls = world_.host_list_calls();
  first_epoch_ = world_.Core(HostName(0))->epoch();
  world_.SetObserver(&count_);
  const base::TimePoint start = world_.Now();
  const auto due = [&](double per_second, std::size_t done) {
    const double passed =
        std::chrono::duration<double>(world_.Now() - start).count();
    return per_second > 0 &&
           passed * per_second >= static_cast<double>(done) + 0.5;
  };
  while (world_.Now() - start < seconds(load_.seconds)) {
    if (due(load_.changes_per_second, changes_)) SubmitChange();
    if (due(load_.restarts_per_minute / 60, restarts_)) RestartHost();
    if (due(load_.list_changes_per_minute / 60, list_changes_))
      ChangeHostList();
    Step();
  }
  world_.SetObserver(nullptr);
  host_list_calls_ = world_.host_list_calls() - list_calls;
}

std::uint64_t ControlRun::epochs() const {
  return world_.Core(HostName(0))->epoch() - first_epoch_;
}

}  // namespace berylreach::capacity
