// Timing of the store calls of one bucket: timeouts, backoff and write rate.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>

#include "berylreach/base/clock.h"

namespace berylreach::orders {

/// Allows one store call at a time, delays calls with exponential backoff after
/// repeated failures, and limits the rate of writes.
class StoreAccess {
 public:
  enum class Call : std::uint8_t { kNone, kRead, kCas };

  StoreAccess(base::Duration timeout, base::Duration write_interval,
              int write_burst)
      : timeout_(timeout),
        write_interval_(write_interval),
        write_burst_allowance_(write_interval * (write_burst - 1)) {}

  bool MayCall(base::TimePoint now) const {
    return call_ == Call::kNone && now >= retry_at_;
  }
  /// When the rate limit allows the next write.
  base::TimePoint NextWrite() const {
    return write_time_ - write_burst_allowance_;
  }

  bool InFlight(Call call, std::uint64_t id) const {
    return call_ == call && id_ == id;
  }
  Call call() const { return call_; }
  std::uint64_t id() const { return id_; }

  /// Whether calls have failed repeatedly and the next attempt is not yet due.
  bool InOutage(base::TimePoint now) const {
    return failures_ >= kOutageFailures && now < retry_at_;
  }
  /// Whether the last calls have failed repeatedly.
  bool failing() const { return failures_ >= kOutageFailures; }
  base::TimePoint retry_at() const { return retry_at_; }

  /// Records that `call` was started.
  void Begin(Call call, std::uint64_t id, base::TimePoint now) {
    call_ = call;
    id_ = id;
    timeout_at_ = now + timeout_;
    if (call == Call::kCas)
      write_time_ = std::max(write_time_, now) + write_interval_;
  }

  /// Records that the store answered the call.
  void End() {
    call_ = Call::kNone;
    failures_ = 0;
  }

  /// Records that the call failed or got no answer.
  void Fail(base::TimePoint now) {
    call_ = Call::kNone;
    ++failures_;
    // There is no delay after the first failure, so that a read finds out at
    // once whether a write without an answer was applied.
    if (failures_ < kOutageFailures) return;
    const int doublings = std::min(failures_ - kOutageFailures, 4);
    retry_at_ = now + kFirstBackoff * (1 << doublings);
  }

  /// Allows no call before `time`.
  void DelayUntil(base::TimePoint time) { retry_at_ = time; }

  bool TimedOut(base::TimePoint now) const {
    return call_ != Call::kNone && now >= timeout_at_;
  }

  /// When the call in flight times out, or when the next call may be made.
  base::TimePoint NextEvent() const {
    return call_ == Call::kNone ? retry_at_ : timeout_at_;
  }

 private:
  static constexpr int kOutageFailures = 2;
  /// Doubles up to 1.6 s, so that retries put little load on the store in a
  /// long outage.
  static constexpr base::Duration kFirstBackoff =
      std::chrono::milliseconds(100);

  base::Duration timeout_;
  base::Duration write_interval_;
  /// Time by which writes may precede their due time at the long-term rate.
  base::Duration write_burst_allowance_;
  /// When the next write would be due at the long-term rate.
  base::TimePoint write_time_{};
  Call call_ = Call::kNone;
  std::uint64_t id_ = 0;
  int failures_ = 0;
  base::TimePoint timeout_at_{};
  base::TimePoint retry_at_ = base::TimePoint::min();
};

}  // namespace berylreach::orders
