// Compares one claim per write with group commit, in virtual time, against a
// store that takes 300 writes/s and 2,000 reads/s and answers in 3 ms.
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

constexpr base::Duration kWriteInterval = microseconds(3333);
constexpr base::Duration kReadInterval = microseconds(500);
constexpr base::Duration kStoreLatency = milliseconds(3);
constexpr base::Duration kLeafTime = milliseconds(6);
constexpr base::Duration kLoadTime = std::chrono::seconds(4);

/// Figures of one run.
struct Figures {
  std::size_t done = 0;
  std::size_t refused = 0;
  std::uint64_t writes = 0;
  std::vector<base::Duration> latencies;
  double cpu_ms = 0;
};

/// One coordinator that owns all buckets, under an even load.
class Benchmark {
 public:
  Benchmark(std::size_t changes_per_write, base::Duration write_interval,
            int orders_per_second)
      : interval_(std::chrono::nanoseconds(1'000'000'000 / orders_per_second)),
        coordinator_(clock_, model::HostName{"host-1"}, 0x9d3f,
                     {.write_interval = write_interval,
                      .max_changes_per_write = changes_per_write}) {
    coordinator_.OnLeaseExtended(clock_.Now() + std::chrono::hours(1));
  }

  Figures Run() {
    const auto start = std::chrono::steady_clock::now();
    const int orders = static_cast<int>(kLoadTime / interval_);
    for (int i = 0; i < orders; ++i)
      At(clock_.Now() + i * interval_, [this, i] { Forward(i); });
    while (!events_.empty()) RunNext();
    figures_.writes = coordinator_.counters().writes;
    std::sort(figures_.latencies.begin(), figures_.latencies.end());
    figures_.cpu_ms = std::chrono::duration<double, std::milli>(
                          std::chrono::steady_clock::now() - start)
                          .count();
    return std::move(figures_);
  }

 private:
  void At(base::TimePoint time, std::function<void()> event) {
    events_.emplace(time, std::move(event));
  }

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

  void Forward(int i) {
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

  base::TimePoint Reserve(base::TimePoint& free, base::Duration interval) {
    const base::TimePoint begin = std::max(free, clock_.Now());
    free = begin + interval;
    return begin + kStoreLatency;
  }

  void Perform(const ReadJournal& read) {
    At(Reserve(reads_free_, kReadInterval), [this, read] {
      const auto& [revision, journal] = journals_[read.bucket];
      coordinator_.OnJournalRead(read.id,
                                 revision == 0 ? model::StoreOutcome::kAbsent
                                               : model::StoreOutcome::kOk,
                                 journal, revision, out_);
    });
  }

  void Perform(const CasJournal& cas) {
    At(Reserve(writes_free_, kWriteInterval), [this, cas] {
      journals_[cas.bucket] = {cas.revision + 1, cas.journal};
      // The store's answer does not carry the new revision.
      coordinator_.OnJournalCas(cas.id, model::StoreOutcome::kOk, 0, out_);
    });
  }

  void Perform(const SendOrder& send) {
    At(clock_.Now() + kLeafTime, [this, id = send.id] {
      coordinator_.OnOrderOutcome(id, model::LeafOutcome::kOk,
                                  R"({"accepted":true})", 1, {}, out_);
    });
  }

  void Perform(const Reply& reply) {
    const bool done = std::holds_alternative<model::Answer>(reply.reply.reply);
    ++(done ? figures_.done : figures_.refused);
    if (done)
      figures_.latencies.push_back(clock_.Now() - arrivals_[reply.reply.id]);
  }

  void Perform(const RecordEvent&) {}

  base::ManualClock clock_;
  base::Duration interval_;
  OrderCoordinator coordinator_;
  Actions out_;
  Figures figures_;
  std::multimap<base::TimePoint, std::function<void()>> events_;
  std::map<std::uint32_t, std::pair<std::uint64_t, model::OrderJournal>>
      journals_;
  std::unordered_map<model::CallId, base::TimePoint> arrivals_;
  base::TimePoint writes_free_{};
  base::TimePoint reads_free_{};
  base::TimePoint next_tick_{};
};

double Milliseconds(const Figures& figures, double quantile) {
  if (figures.latencies.empty()) return 0;
  const auto last = static_cast<double>(figures.latencies.size() - 1);
  const auto index = static_cast<std::size_t>(quantile * last);
  return std::chrono::duration<double, std::milli>(figures.latencies[index])
      .count();
}

void Report(const char* mode, std::size_t changes_per_write,
            base::Duration write_interval, int rate) {
  const Figures figures =
      Benchmark(changes_per_write, write_interval, rate).Run();
  const double seconds = std::chrono::duration<double>(kLoadTime).count();
  std::printf("%-14s %8d %8.0f %8zu %8llu %8.1f %8.1f %9.0f\n", mode, rate,
              static_cast<double>(figures.done) / seconds, figures.refused,
              static_cast<unsigned long long>(figures.writes),
              Milliseconds(figures, 0.5), Milliseconds(figures, 0.99),
              figures.cpu_ms);
}

}  // namespace
}  // namespace berylreach::orders

namespace {

void RunAll() {
  std::printf("%-14s %8s %8s %8s %8s %8s %8s %9s\n", "mode", "offered/s",
              "done/s", "refused", "writes", "p50 ms", "p99 ms", "wall ms");
  for (const int rate : {50, 100, 200, 500, 1000, 2500, 5000, 10000}) {
    using berylreach::orders::Report;
    const berylreach::orders::OrderOptions options;
    Report("one per write", 1, {}, rate);
    Report("group, no rate", options.max_changes_per_write, {}, rate);
    Report("group commit", options.max_changes_per_write,
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
