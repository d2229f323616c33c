// Compares orders that are claimed one per store write with orders that are
// claimed in groups (group commit), in virtual time. The simulated store takes
// 300 writes/s and 2,000 reads/s and answers in 3 ms.
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <exception>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "berylreach/base/manual_clock.h"
#include "berylreach/orders/order_coordinator.h"

namespace berylreach::orders {
namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Minimum time between two writes of the store, and between two reads.
constexpr base::Duration kWriteInterval = microseconds(3333);
constexpr base::Duration kReadInterval = microseconds(500);
constexpr base::Duration kStoreLatency = milliseconds(3);
/// Time from sending an order to its result from the leaf.
constexpr base::Duration kLeafLatency = milliseconds(6);
/// Time during which orders arrive.
constexpr base::Duration kArrivalTime = std::chrono::seconds(4);

/// Results of one run.
struct RunResult {
  std::size_t done = 0;
  std::size_t refused = 0;
  std::uint64_t writes = 0;
  /// From the arrival of an order to its answer; sorted after the run.
  std::vector<base::Duration> latencies;
  /// Real time that the simulation took.
  double wall_ms = 0;
};

/// Simulates one coordinator that owns all buckets. Orders arrive at equal
/// intervals.
class OrderSimulation {
 public:
  OrderSimulation(std::size_t changes_per_write, base::Duration write_interval,
                  int orders_per_second)
      : arrival_interval_(
            std::chrono::nanoseconds(1'000'000'000 / orders_per_second)),
        coordinator_(clock_, model::HostName{"host-1"}, 0x9d3f,
                     {.write_interval = write_interval,
                      .max_changes_per_write = changes_per_write}) {
    coordinator_.OnLeaseExtended(clock_.Now() + std::chrono::hours(1));
  }

  RunResult Run() {
    const auto wall_start = std::chrono::steady_clock::now();
    const int orders = static_cast<int>(kArrivalTime / arrival_interval_);
    for (int i = 0; i < orders; ++i)
      At(clock_.Now() + i * arrival_interval_, [this, i] { ForwardOrder(i); });
    while (!events_.empty()) RunNext();
    result_.writes = coordinator_.counters().writes;
    std::sort(result_.latencies.begin(), result_.latencies.end());
    result_.wall_ms = std::chrono::duration<double, std::milli>(
                          std::chrono::steady_clock::now() - wall_start)
                          .count();
    return std::move(result_);
  }

 private:
  void At(base::TimePoint time, std::function<void()> event) {
    events_.emplace(time, std::move(event));
  }

  /// Runs the next event and the coordinator's actions, and schedules its next
  /// tick.
  void RunNext() {
    const auto next = events_.begin();
    clock_.AdvanceTo(std::max(clock_.Now(), next->first));
    const auto event = std::move(next->second);
    events_.erase(next);
    event();
    coordinator_.Tick(out_);
    for (const Action& action : std::exchange(out_, {}))
      std::visit([this](const auto& a) { Perform(a); }, action);
    const auto wakeup = coordinator_.NextWakeup();
    if (!wakeup || (next_tick_ > clock_.Now() && next_tick_ <= *wakeup)) return;
    next_tick_ = std::max(*wakeup, clock_.Now() + microseconds(100));
    At(next_tick_, [] {});
  }

  void ForwardOrder(int i) {
    model::OrderForward forward;
    forward.id = {1, static_cast<std::uint64_t>(i) + 1};
    forward.service = {"order-desk"};
    forward.key = "order-" + std::to_string(i);
    forward.payload = R"({"satchel":"messenger","count":1})";
    forward.issued_at_ms =
        duration_cast<milliseconds>(clock_.WallNow().time_since_epoch())
            .count();
    forward.budget = std::chrono::seconds(2);
    arrivals_[forward.id] = clock_.Now();
    coordinator_.OnForward(forward, out_);
  }

  /// Schedules a read or write of the store, which starts one operation of its
  /// kind per `interval`. Returns the time of the store's answer and moves
  /// `next_start`, the earliest start of the next operation.
  base::TimePoint ScheduleOperation(base::TimePoint& next_start,
                                    base::Duration interval) {
    const base::TimePoint start = std::max(next_start, clock_.Now());
    next_start = start + interval;
    return start + kStoreLatency;
  }

  void Perform(const ReadJournal& read) {
    At(ScheduleOperation(next_read_start_, kReadInterval), [this, read] {
      const auto& [revision, journal] = journals_[read.bucket];
      coordinator_.OnJournalRead(read.id,
                                 revision == 0 ? model::StoreOutcome::kAbsent
                                               : model::StoreOutcome::kOk,
                                 journal, revision, out_);
    });
  }

  void Perform(const CasJournal& cas) {
    At(ScheduleOperation(next_write_start_, kWriteInterval), [this, cas] {
      journals_[cas.bucket] = {cas.revision + 1, cas.journal};
      // The store's answer does not carry the new revision.
      coordinator_.OnJournalCas(cas.id, model::StoreOutcome::kOk, 0, out_);
    });
  }

  void Perform(const SendOrder& send) {
    At(clock_.Now() + kLeafLatency, [this, id = send.id] {
      coordinator_.OnOrderOutcome(id, model::LeafOutcome::kOk,
                                  R"({"accepted":true})", 1, {}, out_);
    });
  }

  void Perform(const Reply& reply) {
    const bool answered =
        std::holds_alternative<model::Answer>(reply.reply.reply);
    ++(answered ? result_.done : result_.refused);
    if (answered)
      result_.latencies.push_back(clock_.Now() - arrivals_[reply.reply.id]);
  }

  void Perform(const RecordEvent&) {}

  base::ManualClock clock_;
  base::Duration arrival_interval_;
  OrderCoordinator coordinator_;
  Actions out_;
  RunResult result_;
  std::multimap<base::TimePoint, std::function<void()>> events_;
  /// Revision and content of the stored journal of each bucket.
  std::map<std::uint32_t, std::pair<std::uint64_t, model::OrderJournal>>
      journals_;
  std::unordered_map<model::CallId, base::TimePoint> arrivals_;
  base::TimePoint next_write_start_{};
  base::TimePoint next_read_start_{};
  base::TimePoint next_tick_{};
};

double LatencyMs(const RunResult& result, double quantile) {
  if (result.latencies.empty()) return 0;
  const auto last = static_cast<double>(result.latencies.size() - 1);
  const auto index = static_cast<std::size_t>(quantile * last);
  return std::chrono::duration<double, std::milli>(result.latencies[index])
      .count();
}

void RunAndPrint(const char* mode, std::size_t changes_per_write,
                 base::Duration write_interval, int orders_per_second) {
  const RunResult result =
      OrderSimulation(changes_per_write, write_interval, orders_per_second)
          .Run();
  const double seconds = std::chrono::duration<double>(kArrivalTime).count();
  std::printf("%-14s %8d %8.0f %8zu %8llu %8.1f %8.1f %9.0f\n", mode,
              orders_per_second, static_cast<double>(result.done) / seconds,
              result.refused, static_cast<unsigned long long>(result.writes),
              LatencyMs(result, 0.5), LatencyMs(result, 0.99), result.wall_ms);
}

}  // namespace
}  // namespace berylreach::orders

namespace {

void RunAll() {
  std::printf("%-14s %8s %8s %8s %8s %8s %8s %9s\n", "mode", "offered/s",
              "done/s", "refused", "writes", "p50 ms", "p99 ms", "wall ms");
  for (const int rate : {50, 100, 200, 500, 1000, 2500, 5000, 10000}) {
    using berylreach::orders::RunAndPrint;
    const berylreach::orders::OrderOptions options;
    RunAndPrint("one per write", 1, {}, rate);
    RunAndPrint("group, no rate", options.max_changes_per_write, {}, rate);
    RunAndPrint("group commit", options.max_changes_per_write,
                options.write_interval, rate);
  }
}

}  // namespace

int main() {
  try {
    RunAll();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return 1;
  }
  return 0;
}
