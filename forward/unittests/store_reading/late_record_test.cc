// Tests until when records take effect on hosts that learn of them late:
// statuses of version shifts, and suspicions that a request crashes leaves.
#include <gtest/gtest.h>

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "berylreach/forward/request_quarantine.h"
#include "berylreach/forward/version_shifts.h"
#include "reader_trouble.h"
#include "store_simulation.h"

namespace berylreach::forward {
namespace {

constexpr milliseconds kMaxStaleness{5000};

/// Time within which a shift must be stopped after the 50th bad answer, and
/// the part of it that passes before the verdict is in the store: a report is
/// due after 200 ms, the second arbiter waits for the first for 1 s, and the
/// write and its repetition take the rest.
constexpr milliseconds kRollbackTime{5000};
constexpr milliseconds kVerdictTime{1300};

/// Time after a crash within which all hosts must know of it, and the part of
/// it until the suspicion is in the store: a lease is granted, and the record
/// is written once more after 250 ms.
constexpr milliseconds kContact{5000};
constexpr milliseconds kSuspicionTime{500};

constexpr char kKey[] = "record";
constexpr std::uint64_t kRequest = 7;

/// The trouble of a reader, and the time of a message to the store.
class LateRecordTest
    : public testing::TestWithParam<std::tuple<ReaderTrouble, milliseconds>> {
 protected:
  /// Plays a deployment of one zone in which a record is written just after
  /// the trouble of a reader began, at each phase of the polls. `make` returns
  /// an observer for a host: an object with OnRecord, which is called when the
  /// host learns of the record, and InForce. Checks that it is in force on all
  /// followers within `limit`.
  template <typename Make>
  static void ExpectInForceWithin(milliseconds limit, Make make) {
    constexpr milliseconds phase{100};
    constexpr milliseconds poll_period{2100};
    const auto [trouble, to_store] = GetParam();
    for (milliseconds start{0}; start < poll_period; start += phase) {
      for (const std::size_t reader : {0U, 1U}) {
        StoreSimulation simulation({6}, kMaxStaleness, {.to_store = to_store});
        auto observers = ObserverOfEachHost(simulation, make);
        simulation.time.RunFor(seconds(8) + start);
        DisturbReader(simulation, trouble, reader);
        simulation.time.RunFor(phase);
        simulation.store.Put(kKey, "1");
        simulation.time.RunFor(limit);
        for (std::size_t i = 2; i < observers.size(); ++i)
          ASSERT_TRUE(observers[i]->InForce())
              << "host " << i << ", start " << start.count() << ", reader "
              << reader;
      }
    }
  }

 private:
  template <typename Make>
  static auto ObserverOfEachHost(StoreSimulation& simulation, Make make) {
    std::vector<decltype(make(simulation.time.clock()))> observers;
    for (const auto& host : simulation.hosts) {
      observers.push_back(make(simulation.time.clock()));
      host->SetOnRecord(
          [observer = observers.back().get()](
              const std::string& key, const std::optional<std::string>&) {
            if (key == kKey) observer->OnRecord();
          });
    }
    return observers;
  }
};

/// A host whose calls all go to the target of a shift until it learns of the
/// verdict.
class ShiftingHost {
 public:
  explicit ShiftingHost(const base::Clock& clock) : shifts_(clock, "h", 1) {
    shifts_.SetHosts({"h"});
    shifts_.ApplyOrder("s", VersionShiftOrder{"s", "v2", seconds(30)},
                       RecordSource::kChange);
    Apply(ShiftState::kRunning, 1);
  }
  void OnRecord() { Apply(ShiftState::kRolledBack, 2); }
  bool InForce() const {
    return shifts_.Permit("s", /*first_attempt=*/true)->UseOf("v2") ==
           VersionUse::kNever;
  }

 private:
  void Apply(ShiftState state, std::uint64_t step) {
    shifts_.ApplyStatus("s", VersionShiftStatus{.service = "s",
                                                .state = state,
                                                .stage = ShiftStage::kFull,
                                                .target_version = "v2",
                                                .order = {1, 7},
                                                .step = step,
                                                .duration = seconds(30)});
  }

  VersionShifts shifts_;
};

// Guards against hosts that go on with a version that was rolled back, since
// the host that reads the store for them has failed: the time of a rollback
// runs from the bad answers, not from when a host learns of the verdict.
TEST_P(LateRecordTest, RollbackStopsCallsInTime) {
  ExpectInForceWithin(kRollbackTime - kVerdictTime,
                      [](const base::Clock& clock) {
                        return std::make_unique<ShiftingHost>(clock);
                      });
}

/// A host that another one tells of a request that may crash leaves.
class SuspectingHost {
 public:
  explicit SuspectingHost(const base::Clock& clock)
      : clock_(clock), quarantine_(clock, milliseconds(2400)) {}
  void OnRecord() {
    quarantine_.Merge({.fingerprint = kRequest,
                       .expires_in = seconds(8),
                       .hold_for = seconds(8),
                       .unanswered_leaves = {{.id = "a"}}});
  }
  bool InForce() {
    return quarantine_.Admit(kRequest, clock_.Now() + seconds(1)) ==
           RunPermit::kHeld;
  }

 private:
  const base::Clock& clock_;
  RequestQuarantine quarantine_;
};

// Guards against hosts that run a request which has crashed leaves, since the
// host that reads the store for them has failed: the time after which it may
// run no more runs from the crash.
TEST_P(LateRecordTest, SuspicionHoldsRequestInTime) {
  ExpectInForceWithin(kContact - kSuspicionTime, [](const base::Clock& clock) {
    return std::make_unique<SuspectingHost>(clock);
  });
}

INSTANTIATE_TEST_SUITE_P(Troubles, LateRecordTest,
                         testing::Combine(testing::ValuesIn(kReaderTroubles),
                                          testing::Values(milliseconds(20),
                                                          milliseconds(45))));

}  // namespace
}  // namespace berylreach::forward
