// Admission control of an entry host: bounds its caller requests and leaf
// calls.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>

#include "berylreach/base/clock.h"
#include "berylreach/limits/admission_counters.h"
#include "berylreach/limits/admission_decision.h"
#include "berylreach/limits/admission_options.h"

namespace berylreach::limits {

/// Admits or refuses caller requests immediately. Priority 0 may use the whole
/// bound and each further priority a tenth less, down to half of it, so that
/// priority 0 is shed last. Not thread-safe.
class Admission {
 public:
  Admission(const base::Clock& clock, AdmissionOptions options);

  /// Admits or refuses a caller request that will make about `leaf_calls` leaf
  /// calls (its shard count; 1 for lookups and orders). Each admitted request
  /// must end with OnRequestDone.
  AdmissionDecision Admit(std::uint32_t priority, std::size_t leaf_calls);

  /// An admitted request has ended. `leaf_calls` is the number that was passed
  /// to Admit.
  void OnRequestDone(std::size_t leaf_calls);

  /// Admitted caller requests in flight.
  std::size_t requests() const { return requests_; }
  /// Leaf calls in flight, as declared to Admit.
  std::size_t leaf_calls() const { return leaf_calls_; }
  const AdmissionCounters& counters() const { return counters_; }

 private:
  /// Estimates the time until more than `excess` requests have completed, from
  /// the recent completion rate.
  std::chrono::milliseconds RetryAfter(std::size_t excess);
  void DropOldCompletions();

  const base::Clock& clock_;
  AdmissionOptions options_;
  std::size_t requests_ = 0;
  std::size_t leaf_calls_ = 0;
  /// Completion times within the last second, bounded in number.
  std::deque<base::TimePoint> completions_;
  AdmissionCounters counters_;
};

}  // namespace berylreach::limits
