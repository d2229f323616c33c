// Plays hosts, store, leaves and traffic of a version shift.
#include "shift_simulation.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace berylreach::forward {
namespace {

constexpr std::size_t kZones = 6;

/// Time constant of the load of a leaf, in seconds.
constexpr double kLoadWindow = 0.5;

}  // namespace

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
      const std::size_t zone = i % kZones;
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

void ShiftSimulation::NextCall() {
  std::exponential_distribution<double> gap(conditions.rate);
  const base::Duration delay(
      std::chrono::nanoseconds(static_cast<std::int64_t>(gap(random) * 1e9)));
  time.After(delay, [this] {
    SimulatedShiftHost& host = *hosts[random() % hosts.size()];
    if (host.up) SendCall(host);
    NextCall();
  });
}

SimulatedLeaf* ShiftSimulation::ChooseOf(
    const std::function<bool(const std::string&)>& use) {
  std::vector<SimulatedLeaf*> found;
  for (const auto& leaf : leaves)
    if (leaf->listed && time.Now() >= leaf->down_until &&
        use(leaf->record.entry().version))
      found.push_back(leaf.get());
  return found.empty() ? nullptr : found[random() % found.size()];
}

SimulatedLeaf* ShiftSimulation::ChooseLeaf(SimulatedShiftHost& host) {
  // A few calls are retries or hedges.
  const auto permit = host.shifts->Permit("s", !Chance(0.05));
  // The new leaves are listed after the order, so a host that does not know the
  // order does not know them either.
  if (!permit)
    return ChooseOf([this](const std::string& version) {
      return !order || version != "v2";
    });
  for (const VersionUse use :
       {VersionUse::kPreferred, VersionUse::kAllowed,
        VersionUse::kIfNoOtherCallable, VersionUse::kIfNoOtherListed}) {
    SimulatedLeaf* leaf = ChooseOf([&](const std::string& version) {
      return permit->UseOf(version) == use;
    });
    if (leaf != nullptr) return leaf;
  }
  return nullptr;
}

void ShiftSimulation::AddLoad(SimulatedLeaf& leaf) {
  const std::chrono::duration<double> gap = time.Now() - leaf.called_at;
  leaf.called_at = time.Now();
  leaf.load =
      leaf.load * std::exp(-gap.count() / kLoadWindow) + 1 / kLoadWindow;
}

bool ShiftSimulation::IsFaulty(const SimulatedLeaf& leaf,
                               const std::string& route) const {
  return leaf.is_target && time.Now() >= ordered_at + conditions.bad_from &&
         leaf.load >= conditions.bad_from_load * conditions.rate /
                          static_cast<double>(conditions.new_leaves) &&
         (!conditions.bad_on_one_route || route == "r1");
}

EndedCall ShiftSimulation::Play(SimulatedShiftHost& host, SimulatedLeaf& leaf,
                                const std::string& route) {
  std::gamma_distribution<double> spread(8, 1.0 / 8);
  double latency = 20 * spread(random) * (route == "r1" ? 3 : 1);
  if (!leaf.is_target) latency *= conditions.old_latency_factor;
  if (conditions.noisy_old && !leaf.is_target && Chance(0.15)) latency *= 2.5;
  if (leaf.zone == 0) latency *= conditions.slow_zone_factor;
  const bool is_cold = time.Now() < leaf.cold_until;
  if (is_cold) latency *= 5;
  if (conditions.pauses) {
    while (leaf.pause_at + milliseconds(300) < time.Now())
      leaf.pause_at += Between(4500, 7500);
    const auto left = leaf.pause_at + milliseconds(250) - time.Now();
    if (leaf.pause_at <= time.Now() && left > base::Duration::zero())
      latency += static_cast<double>(
          std::chrono::duration_cast<milliseconds>(left).count());
  }
  EndedCall end{.route = route, .was_cold = is_cold};
  const bool is_faulty = IsFaulty(leaf, route);
  if (is_faulty) latency *= conditions.slow_factor;
  if (Chance(conditions.failure_rate)) end.outcome = CallOutcome::kFailed;
  if (is_faulty && Chance(conditions.bad_rate))
    end.outcome = CallOutcome::kFailed;
  if (time.Now() < host.lost_until && leaf.zone == host.lost_zone)
    latency = 1e6;
  // The request that is hedged after some time cancels the call.
  const double limit = static_cast<double>(conditions.timeout.count());
  if (conditions.long_calls > 0 && Chance(conditions.long_calls))
    latency = 0.9 * limit;
  if (latency > limit) {
    latency = limit;
    end.outcome = CallOutcome::kCancelled;
  }
  end.latency =
      std::chrono::microseconds(static_cast<std::int64_t>(latency * 1000));
  return end;
}

void ShiftSimulation::SendCall(SimulatedShiftHost& host) {
  SimulatedLeaf* leaf = ChooseLeaf(host);
  if (leaf == nullptr) {
    ++refused_calls;
    return;
  }
  const std::string route = Chance(0.25) ? "r1" : "r0";
  host.shifts->OnSent(leaf->record);
  AddLoad(*leaf);
  ++arrivals;
  if (leaf->is_target) ++target_arrivals;
  if (leaf->is_target && InTouch(host)) last_target_call = time.Now();
  const bool is_rolled_back =
      status && order && status->state == ShiftState::kRolledBack &&
      status->order.revision == order_revision && ended_at &&
      time.Now() - *ended_at >= milliseconds(3500) &&
      time.Now() - restored_at_ >= milliseconds(9500);
  if (leaf->is_target && is_rolled_back && InTouch(host))
    ++calls_after_rollback;
  if (!leaf->is_target) {
    ++host.old_running;
    // If no leaf of the target is listed, the old ones are used.
    const bool is_listed = ChooseOf([](const std::string& version) {
                             return version == "v2";
                           }) != nullptr;
    if (status && status->state == ShiftState::kComplete && is_listed &&
        InTouch(host))
      violations.push_back(host.name + " sent to an old leaf after complete");
  }
  EndedCall end = Play(host, *leaf, route);
  const bool is_bad = leaf->is_target &&
                      (end.outcome == CallOutcome::kFailed ||
                       (IsFaulty(*leaf, route) && conditions.slow_factor > 1));
  time.After(end.latency, [this, &host, leaf, end, is_bad,
                           started = host.incarnation]() mutable {
    if (is_bad && ++bad_answers == 50) bad_50th_at = time.Now();
    if (host.incarnation != started || !host.up) return;
    if (!leaf->is_target) --host.old_running;
    if (time.Now() < leaf->down_until) end.outcome = CallOutcome::kLost;
    host.shifts->OnEnded(leaf->record, end);
  });
}

void ShiftSimulation::PlayLinks() {
  SimulatedShiftHost& host = *hosts[random() % hosts.size()];
  host.lost_zone = random() % kZones;
  host.lost_until = time.Now() + Between(500, 3000);
  time.After(Between(300, 1500), [this] { PlayLinks(); });
}

void ShiftSimulation::KillLeaves() {
  // The request and its retry crash a leaf each.
  for (int i = 0; i < 2; ++i) {
    SimulatedLeaf& leaf = *leaves[random() % leaves.size()];
    leaf.down_until = time.Now() + Between(500, 2000);
    leaf.cold_until = leaf.down_until + seconds(3);
  }
  time.After(Between(2000, 5000), [this] { KillLeaves(); });
}

}  // namespace berylreach::forward
