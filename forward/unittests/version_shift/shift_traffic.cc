// Plays leaves, links and traffic of a version shift.
#include <algorithm>
#include <cmath>

#include "shift_simulation.h"

namespace berylreach::forward {
namespace {

/// Time constant of the load of a leaf, in seconds.
constexpr double kLoadWindow = 0.5;

}  // namespace

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
  host.lost_zone = random() % kZoneCount;
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
