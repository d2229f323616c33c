// Simulated fleet, store, leaves and traffic for version shifts, in virtual
// time.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "berylreach/forward/leaf_record.h"
#include "berylreach/forward/shift_controller.h"
#include "berylreach/forward/version_shifts.h"
#include "virtual_time.h"

namespace berylreach::forward {

/// Behaviour of leaves, links and traffic.
struct ShiftConditions {
  std::size_t hosts = 6;
  /// Calls per second of all hosts.
  double rate = 50;
  seconds duration{30};
  milliseconds timeout{1000};
  std::size_t old_leaves = 6;
  std::size_t new_leaves = 6;
  /// Whether leaves of "v2" start a second after an order.
  bool starts_leaves = true;

  /// Fault of the target version: a part of the answers fail, or are slower.
  double bad_rate = 0;
  double slow_factor = 1;
  /// Time from the order until the fault begins.
  milliseconds bad_from{0};
  /// The fault exists only while a leaf gets this part of its full load.
  double bad_from_load = 0;
  /// Only answers of the route "r1", a quarter of the calls, are bad.
  bool bad_on_one_route = false;

  /// What happens to leaves of both versions.
  double failure_rate = 0.003;
  bool pauses = true;
  /// Part of the calls that take nine tenths of the timeout.
  double long_calls = 0;
  bool noisy_old = false;
  double old_latency_factor = 1;
  double slow_zone_factor = 1;
  bool lost_links = false;
  bool killing_request = false;
  /// Time after the order for which the new leaves are cold, and slow.
  milliseconds cold{0};

  /// Part of the messages between hosts that are lost.
  double lost_messages = 0;
};

/// A leaf, as all hosts see it.
struct SimulatedLeaf {
  SimulatedLeaf(LeafEntry entry, std::string region, base::TimePoint now)
      : record(std::move(entry), Distance::kSameRegion, std::move(region),
               now) {}

  LeafRecord record;
  std::size_t zone = 0;
  bool is_target = false;
  bool listed = true;
  base::TimePoint cold_until{};
  base::TimePoint down_until{};
  base::TimePoint pause_at{};
  /// Calls per second, smoothed over half a second.
  double load = 0;
  base::TimePoint called_at{};
};

/// A host and its part in the shift.
struct SimulatedShiftHost {
  std::string name;
  std::uint64_t incarnation = 0;
  bool up = true;
  /// Cut off from the store, and from the other hosts.
  bool store_cut = false;
  bool cut = false;
  base::TimePoint disturbed_at{};
  std::unique_ptr<VersionShifts> shifts;
  std::unique_ptr<ShiftController> controller;
  std::size_t old_running = 0;
  /// The last verdict that the process has acted on.
  std::optional<VersionShiftStatus> verdict;
  /// Zone to which the link is lost, and until when.
  std::size_t lost_zone = 0;
  base::TimePoint lost_until{};
};

/// Plays one service, "s", with versions "v1" and "v2".
class ShiftSimulation {
 public:
  ShiftSimulation(const ShiftConditions& conditions, std::uint64_t seed);

  /// Writes an order for "v2", or another one; withdraws it if empty.
  void WriteOrder(std::optional<VersionShiftOrder> order,
                  bool malformed = false);
  void Order() {
    WriteOrder(VersionShiftOrder{"s", "v2", conditions.duration});
  }
  void RunFor(base::Duration duration) { time.RunFor(duration); }
  void Restart(std::size_t host);
  void Kill(std::size_t host) { hosts[host]->up = false; }
  void CutOff(std::size_t host, bool cut);
  void CutStore(std::size_t host, bool cut);
  /// Lists a leaf, or removes it.
  void List(const std::string& version, bool listed);
  /// Replaces the store's content by a copy that was taken before.
  void SaveCopy() { copy_ = {order, malformed, order_revision, status}; }
  void RestoreCopy(bool with_order = true);
  bool InTouch(const SimulatedShiftHost& host) const;
  /// The index of the host of this rank.
  std::size_t Arbiter(std::size_t rank) const { return ranked_[rank]; }

  ShiftConditions conditions;
  VirtualTime time;
  std::mt19937_64 random;
  std::vector<std::unique_ptr<SimulatedShiftHost>> hosts;
  std::vector<std::unique_ptr<SimulatedLeaf>> leaves;

  // The store.
  std::uint64_t revision = 10;
  std::uint64_t era = 1;
  std::optional<VersionShiftOrder> order;
  bool malformed = false;
  std::uint64_t order_revision = 0;
  std::optional<VersionShiftStatus> status;
  std::uint64_t status_revision = 0;
  bool store_down = false;
  /// Part of the writes without an answer, which are executed or not, and of
  /// those of them that are executed seconds later.
  double lost_writes = 0;
  /// Called before a host sends a write; returns whether it is to be sent.
  std::function<bool(std::size_t, const WriteShiftStatus&)> on_write;

  // What was seen.
  std::vector<VersionShiftStatus> written;
  std::size_t writes_sent = 0;
  std::size_t reads = 0;
  std::size_t reports = 0;
  std::size_t report_rows = 0;
  std::size_t refused_calls = 0;
  std::uint64_t target_arrivals = 0;
  std::uint64_t arrivals = 0;
  std::uint64_t bad_answers = 0;
  std::uint64_t bad_answers_at_verdict = 0;
  base::TimePoint ordered_at{};
  std::optional<base::TimePoint> bad_50th_at;
  base::TimePoint last_target_call{};
  std::optional<base::TimePoint> ended_at;
  /// Calls of hosts in touch to the target after the staleness bound of a
  /// verdict against it.
  std::uint64_t calls_after_rollback = 0;
  /// Violations of the rules, as text.
  std::vector<std::string> violations;

 private:
  struct Copy {
    std::optional<VersionShiftOrder> order;
    bool malformed = false;
    std::uint64_t order_revision = 0;
    std::optional<VersionShiftStatus> status;
  };

  bool Chance(double part) {
    return std::uniform_real_distribution<double>(0, 1)(random) < part;
  }
  milliseconds Between(int low, int high) {
    return milliseconds(std::uniform_int_distribution<int>(low, high)(random));
  }
  void AddLeaves();
  void Start(SimulatedShiftHost& host);
  void GiveHosts();
  /// Sends hosts the change of one record.
  void Deliver(bool is_order);
  /// Gives a host all records.
  void DeliverListing(SimulatedShiftHost& host, std::uint64_t incarnation);
  void ApplyOrder(SimulatedShiftHost& host, RecordSource source);
  void ApplyStatus(SimulatedShiftHost& host);
  void GiveLeaves(SimulatedShiftHost& host);
  void TickHost(SimulatedShiftHost& host);
  void CheckVerdict(SimulatedShiftHost& host);
  void SendReport(SimulatedShiftHost& host, const VersionShiftReport& report);
  void Execute(SimulatedShiftHost& host, ShiftController::Actions& actions);
  void Read(SimulatedShiftHost& host, const std::string& service);
  void Write(SimulatedShiftHost& host, const WriteShiftStatus& write);
  /// Executes the write if its conditions hold. Returns whether they do.
  bool Commit(const WriteShiftStatus& write);
  void CheckCommit(const VersionShiftStatus& next);
  void NextCall();
  void SendCall(SimulatedShiftHost& host);
  SimulatedLeaf* ChooseLeaf(SimulatedShiftHost& host);
  SimulatedLeaf* ChooseOf(const std::function<bool(const std::string&)>& use);
  EndedCall Play(SimulatedShiftHost& host, SimulatedLeaf& leaf,
                 const std::string& route);
  void AddLoad(SimulatedLeaf& leaf);
  bool IsFaulty(const SimulatedLeaf& leaf, const std::string& route) const;
  void PlayLinks();
  void KillLeaves();
  std::size_t Index(const std::string& host) const;

  static constexpr std::size_t kZoneCount = 6;

  Copy copy_;
  /// The last write since the store came back from a copy.
  std::optional<VersionShiftStatus> last_commit_;
  base::TimePoint restored_at_{};
  std::vector<std::string> names_;
  /// Indices of the hosts by rank.
  std::vector<std::size_t> ranked_;
};

}  // namespace berylreach::forward
