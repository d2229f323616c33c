// Plays hosts and the store of a version shift.
#include "shift_simulation.h"

#include <algorithm>
#include <utility>

namespace berylreach::forward {
ShiftSimulation::ShiftSimulation(const ShiftConditions& the_conditions,
                                 std::uint64_t seed)
    : conditions(the_conditions), random(seed) {
  time.clock().Advance(std::chrono::hours(1));
  AddLeaves();
  for (std::size_t i = 0; i < conditions.hosts; ++i) {
    hosts.push_back(std::make_unique<SimulatedShiftHost>());
    hosts.back()->name = "h" + std::to_string(i);
    names_.push_back(hosts.back()->name);
  }
  for (const std::string& host : RankArbiters("s", names_))
    ranked_.push_back(Index(host));
  for (const auto& host : hosts) {
    Start(*host);
    time.After(Between(0, 99), [this, &host = *host] { TickHost(host); });
  }
  NextCall();
  if (conditions.lost_links) PlayLinks();
  if (conditions.killing_request)
    time.After(seconds(3), [this] { KillLeaves(); });
}

void ShiftSimulation::AddLeaves() {
  const auto add = [this](const std::string& version, std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      const std::size_t zone = i % kZoneCount;
      LeafEntry entry{.id = version + "-" + std::to_string(i),
                      .service = "s",
                      .zone = "z" + std::to_string(zone),
                      .version = version};
      leaves.push_back(
          std::make_unique<SimulatedLeaf>(std::move(entry), "r", time.Now()));
      leaves.back()->zone = zone;
      leaves.back()->is_target = version == "v2";
      leaves.back()->listed = version != "v2";
      leaves.back()->pause_at = time.Now() + Between(0, 6000);
    }
  };
  add("v1", conditions.old_leaves);
  add("v2", conditions.new_leaves);
}

void ShiftSimulation::Start(SimulatedShiftHost& host) {
  host.up = true;
  host.old_running = 0;
  host.verdict.reset();
  ++host.incarnation;
  host.disturbed_at = time.Now();
  host.shifts = std::make_unique<VersionShifts>(time.clock(), host.name,
                                                host.incarnation);
  host.controller = std::make_unique<ShiftController>(time.clock(), host.name);
  host.shifts->SetHosts(names_);
  host.controller->SetHosts(names_);
  if (!store_down && !host.store_cut) DeliverListing(host, host.incarnation);
}

void ShiftSimulation::Restart(std::size_t host) { Start(*hosts[host]); }

void ShiftSimulation::CutOff(std::size_t host, bool cut) {
  hosts[host]->cut = cut;
  CutStore(host, cut);
}

void ShiftSimulation::CutStore(std::size_t host, bool cut) {
  SimulatedShiftHost& at = *hosts[host];
  at.store_cut = cut;
  at.disturbed_at = time.Now();
  if (cut) return;
  time.After(Between(100, 2000), [this, &at, started = at.incarnation] {
    DeliverListing(at, started);
  });
}

bool ShiftSimulation::InTouch(const SimulatedShiftHost& host) const {
  return host.up && !host.cut && !host.store_cut && !store_down &&
         time.Now() - host.disturbed_at >= seconds(6);
}

std::size_t ShiftSimulation::Index(const std::string& host) const {
  return static_cast<std::size_t>(
      std::find(names_.begin(), names_.end(), host) - names_.begin());
}

void ShiftSimulation::List(const std::string& version, bool listed) {
  for (const auto& leaf : leaves)
    if (leaf->record.entry().version == version) leaf->listed = listed;
}

void ShiftSimulation::WriteOrder(std::optional<VersionShiftOrder> new_order,
                                 bool is_malformed) {
  order = std::move(new_order);
  malformed = is_malformed;
  order_revision = order || malformed ? ++revision : 0;
  ordered_at = time.Now();
  Deliver(true);
  if (!order || !conditions.starts_leaves) return;
  // The new leaves are started after the order.
  time.After(seconds(1), [this] {
    List("v2", true);
    for (const auto& leaf : leaves)
      if (leaf->is_target) leaf->cold_until = time.Now() + conditions.cold;
  });
}

void ShiftSimulation::RestoreCopy(bool with_order) {
  ++era;
  last_commit_.reset();
  restored_at_ = time.Now();
  if (with_order) {
    order = copy_.order;
    malformed = copy_.malformed;
    order_revision = copy_.order_revision;
  } else {
    order.reset();
    order_revision = 0;
  }
  status = copy_.status;
  status_revision = status ? ++revision : 0;
  for (const auto& host : hosts) {
    host->disturbed_at = time.Now();
    time.After(Between(50, 600), [&host = *host, started = host->incarnation] {
      if (!host.up || host.incarnation != started) return;
      host.shifts->OnStoreRestored();
      host.controller->OnStoreRestored();
    });
  }
  time.After(milliseconds(600), [this] {
    for (const auto& host : hosts) DeliverListing(*host, host->incarnation);
  });
}

void ShiftSimulation::Deliver(bool is_order) {
  for (const auto& host : hosts) {
    time.After(Between(20, 600), [this, is_order, &at = *host,
                                  started = host->incarnation] {
      if (!at.up || at.incarnation != started || at.store_cut || store_down)
        return;
      // Changes arrive in their order, so the latest one is shown.
      if (is_order) {
        ApplyOrder(at, RecordSource::kChange);
      } else {
        ApplyStatus(at);
      }
    });
  }
}

void ShiftSimulation::DeliverListing(SimulatedShiftHost& host,
                                     std::uint64_t incarnation) {
  if (!host.up || host.incarnation != incarnation) return;
  ApplyOrder(host, RecordSource::kListing);
  ApplyStatus(host);
}

void ShiftSimulation::ApplyOrder(SimulatedShiftHost& host,
                                 RecordSource source) {
  ShiftController::Actions actions;
  host.shifts->ApplyOrder("s", order, source);
  host.controller->OnOrder("s", order, malformed, source, actions);
  Execute(host, actions);
}

void ShiftSimulation::ApplyStatus(SimulatedShiftHost& host) {
  host.shifts->ApplyStatus("s", status);
  host.controller->OnStatus("s", status);
}

void ShiftSimulation::GiveLeaves(SimulatedShiftHost& host) {
  ShiftedService facts{.longest_timeout = conditions.timeout};
  for (const auto& leaf : leaves) {
    if (!leaf->listed || time.Now() < leaf->down_until) continue;
    VersionLeaves& version = facts.leaves[leaf->record.entry().version];
    ++version.listed;
    if (time.Now() >= leaf->cold_until) ++version.warm;
  }
  host.controller->SetService("s", std::move(facts));
}

void ShiftSimulation::TickHost(SimulatedShiftHost& host) {
  time.After(milliseconds(100), [this, &host] { TickHost(host); });
  if (!host.up) return;
  GiveLeaves(host);
  CheckVerdict(host);
  for (const VersionShiftReport& report : host.shifts->DueReports())
    SendReport(host, report);
  ShiftController::Actions actions;
  host.controller->Tick(actions);
  Execute(host, actions);
}

void ShiftSimulation::CheckVerdict(SimulatedShiftHost& host) {
  const VersionShiftStatus* known = host.shifts->Status("s");
  if (known == nullptr) return;
  if (host.verdict && host.verdict->order != known->order) host.verdict.reset();
  if (host.verdict && host.verdict->state != known->state)
    violations.push_back(host.name + " reversed a verdict");
  if (known->is_verdict()) host.verdict = *known;
}

void ShiftSimulation::SendReport(SimulatedShiftHost& host,
                                 const VersionShiftReport& report) {
  std::size_t accepted = 0;
  std::size_t asked = 0;
  for (const std::size_t index : ranked_) {
    if (accepted == 2 || ++asked > 6) return;
    SimulatedShiftHost& arbiter = *hosts[index];
    const bool is_self = &arbiter == &host;
    ++reports;
    report_rows += report.rows.size();
    if (!arbiter.up || (!is_self && (host.cut || arbiter.cut))) continue;
    if (!is_self && Chance(conditions.lost_messages)) continue;
    const VersionReportAnswer answer = arbiter.controller->OnReport(report);
    if (!is_self && Chance(conditions.lost_messages)) continue;
    if (answer.accepted) ++accepted;
    host.shifts->OnReportAnswer(answer);
    // A repeated report, out of order.
    if (conditions.lost_messages > 0 && Chance(0.2))
      time.After(Between(0, 800), [&arbiter, report] {
        if (arbiter.up) arbiter.controller->OnReport(report);
      });
  }
}

void ShiftSimulation::Execute(SimulatedShiftHost& host,
                              ShiftController::Actions& actions) {
  for (const ShiftAction& action : actions) {
    if (const auto* read = std::get_if<ReadShiftRecords>(&action)) {
      Read(host, read->service);
    } else if (const auto* write = std::get_if<WriteShiftStatus>(&action)) {
      Write(host, *write);
    }
  }
}

void ShiftSimulation::Read(SimulatedShiftHost& host,
                           const std::string& service) {
  ++reads;
  time.After(Between(5, 60),
             [this, &host, service, started = host.incarnation] {
               if (!host.up || host.incarnation != started) return;
               if (store_down || host.store_cut) {
                 host.controller->OnReadFailed(service);
                 return;
               }
               ShiftController::Actions actions;
               host.controller->OnRecords({.service = service,
                                           .era = era,
                                           .order_revision = order_revision,
                                           .order = order,
                                           .status_revision = status_revision,
                                           .status = status},
                                          actions);
               Execute(host, actions);
             });
}

void ShiftSimulation::Write(SimulatedShiftHost& host,
                            const WriteShiftStatus& write) {
  ++writes_sent;
  if (on_write && !on_write(Index(host.name), write)) return;
  time.After(Between(5, 60), [this, &host, write, started = host.incarnation] {
    const bool reaches_store = !store_down && !host.store_cut;
    const bool is_lost = !reaches_store || Chance(lost_writes);
    const bool is_late = is_lost && reaches_store && Chance(0.5);
    if (is_late)
      time.After(Between(100, 4000), [this, write] { Commit(write); });
    const bool done =
        reaches_store && !is_late && (!is_lost || Chance(0.5)) && Commit(write);
    if (!host.up || host.incarnation != started) return;
    ShiftController::Actions actions;
    if (is_lost) {
      host.controller->OnWriteLost("s");
    } else if (done) {
      host.controller->OnWritten("s", status_revision, actions);
    } else {
      host.controller->OnWriteConflict("s");
    }
    Execute(host, actions);
  });
}

bool ShiftSimulation::Commit(const WriteShiftStatus& write) {
  if (store_down || write.expect_order_revision != order_revision ||
      write.expect_status_revision != status_revision)
    return false;
  CheckCommit(write.status);
  last_commit_ = write.status;
  status = write.status;
  status_revision = ++revision;
  written.push_back(write.status);
  if (status->is_verdict()) {
    if (!ended_at) bad_answers_at_verdict = bad_answers;
    ended_at = time.Now();
  }
  Deliver(false);
  return true;
}

void ShiftSimulation::CheckCommit(const VersionShiftStatus& next) {
  // A host that has not learned of a verdict before the store lost it may write
  // the status that it knows.
  const bool is_in_grace = time.Now() - restored_at_ < seconds(6);
  // A complete shift comes back by way of the full stage.
  const bool is_full =
      next.state == ShiftState::kRunning && next.stage == ShiftStage::kFull;
  bool is_repeated = false;
  ShiftOrderId latest_order;
  for (const VersionShiftStatus& former : written)
    latest_order = std::max(latest_order, former.order);
  for (const VersionShiftStatus& former : written) {
    is_repeated = is_repeated || (former.order == next.order &&
                                  former.state == ShiftState::kComplete);
    // An order that has come back with a copy although later ones were handled
    // is handled again.
    if (former.is_verdict() && former.order == next.order &&
        former.order == latest_order && former.state != next.state &&
        !(former.state == ShiftState::kComplete && is_full) &&
        (next.is_verdict() || !is_in_grace))
      violations.push_back("a verdict was reversed");
  }
  if (last_commit_ && last_commit_->order == next.order &&
      last_commit_->step == next.step)
    violations.push_back("a step was written twice");
  if (next.state != ShiftState::kComplete) return;
  for (const auto& host : hosts)
    if (InTouch(*host) && host->old_running > 0)
      violations.push_back(host->name + " has calls on old leaves");
  // After its return from a copy, the store gets the verdict again.
  if (!is_repeated && status && status->stage != ShiftStage::kFull)
    violations.push_back("complete without full");
}

}  // namespace berylreach::forward
