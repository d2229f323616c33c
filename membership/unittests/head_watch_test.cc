// Guards against a delegate that learns of a change of the head record long
// after the store has returned.
#include "berylreach/membership/head_watch.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <variant>

#include "berylreach/base/manual_clock.h"
#include "berylreach/membership/constants.h"

namespace berylreach::membership {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kStep = kTickInterval;

/// A watch of the head record of a store that can be silent: it then forgets
/// the watches that wait and answers no new ones.
class WatchedStore {
 public:
  /// Runs for `duration` in steps of the ticks of membership.
  void RunFor(milliseconds duration) {
    for (milliseconds passed{0}; passed < duration; passed += kStep) {
      Tick();
      clock_.Advance(kStep);
    }
  }

  void SetSilent(bool silent) {
    silent_ = silent;
    if (silent) open_.reset();
  }
  void Change() { ++revision_; }
  bool is_current() const { return known_revision_ == revision_; }
  int calls() const { return calls_; }

 private:
  void Tick() {
    if (open_ && (revision_ != open_->revision || clock_.Now() >= answer_at_))
      Answer();
    if (!watch_.ShouldIssue(clock_.Now())) return;
    Actions actions;
    watch_.Issue(++last_id_, known_revision_, clock_.Now(), actions);
    ++calls_;
    if (silent_) return;
    open_ = std::get<WatchHead>(actions.front());
    answer_at_ = clock_.Now() + open_->wait;
  }

  void Answer() {
    const std::uint64_t id = open_->id;
    open_.reset();
    const bool newer = known_revision_ != revision_;
    if (watch_.OnResult(id, model::StoreOutcome::kOk, newer, clock_.Now()))
      known_revision_ = revision_;
  }

  base::ManualClock clock_;
  HeadWatch watch_;
  std::optional<WatchHead> open_;
  base::TimePoint answer_at_{};
  std::uint64_t last_id_ = 0;
  std::uint64_t revision_ = 1;
  std::uint64_t known_revision_ = 0;
  bool silent_ = false;
  int calls_ = 0;
};

/// Returns how long after an outage and a change the delegate knows the change.
milliseconds RecoveryTime(milliseconds start, milliseconds length) {
  WatchedStore store;
  store.RunFor(milliseconds(1000) + start);
  store.SetSilent(true);
  store.RunFor(length);
  store.SetSilent(false);
  store.Change();
  for (milliseconds waited{0};; waited += kStep) {
    if (store.is_current()) return waited;
    store.RunFor(kStep);
  }
}

milliseconds LongestRecovery(milliseconds length) {
  milliseconds longest{0};
  for (milliseconds start{0}; start < kWatchWait + kWatchGrace; start += kStep)
    longest = std::max(longest, RecoveryTime(start, length));
  return longest;
}

// Guards against a watch that is lost in an outage and outlasts it.
TEST(HeadWatchTest, LostWatchDoesNotOutlastAnOutage) {
  constexpr milliseconds recovery_time{2000};
  for (const milliseconds length :
       {milliseconds(4200), milliseconds(6000), milliseconds(13000)})
    EXPECT_LE(LongestRecovery(length), recovery_time) << length.count();
}

// Guards against an outage so short that only the watch is lost in it, and the
// change is known long after.
TEST(HeadWatchTest, WatchLostInAShortOutageEndsSoon) {
  constexpr milliseconds max_staleness{5000};
  for (const milliseconds length : {milliseconds(100), milliseconds(1000)})
    EXPECT_LE(LongestRecovery(length), max_staleness) << length.count();
}

// Guards against watches so short that two delegates, which also poll the host
// list two times a second together, make more than three calls a second.
TEST(HeadWatchTest, CallsAtRestAreFew) {
  WatchedStore store;
  store.RunFor(std::chrono::seconds(60));
  EXPECT_LE(store.calls(), 30);
}

}  // namespace
}  // namespace berylreach::membership
