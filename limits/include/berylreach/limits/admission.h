// Bounds the caller requests and leaf calls of an entry host.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>

#include "berylreach/base/clock.h"
#include "berylreach/limits/admission_counters.h"
#include "berylreach/limits/admission_decision.h"
#include "berylreach/limits/admission_options.h"

namespace berylreach::limits {

/// Admits or refuses caller requests at once. Priority 0 may use the whole
/// bound, each further priority a tenth less, but never less than half, so that
/// priority 0 is shed last. Not thread-safe.
class Admission {
 public:
  Admission(const base::Clock& clock, AdmissionOptions options);

  /// Decides on a caller request that will make about `leaf_calls` leaf calls
  /// (its shard count; 1 for lookups and orders). An admitted request must end
  /// with OnRequestDone.
  AdmissionDecision Admit(std::uint32_t priority, std::size_t leaf_calls);

  /// An admitted request has its final answer. `leaf_calls` is the number given
  /// to Admit.
  void OnRequestDone(std::size_t leaf_calls);

  std::size_t requests() const { return requests_; }
  std::size_t leaf_calls() const { return leaf_calls_; }
  const AdmissionCounters& counters() const { return counters_; }

 private:
  std::chrono::milliseconds RetryAfter(std::size_t excess);
  void ForgetOldCompletions();

  const base::Clock& clock_;
  AdmissionOptions options_;
  std::size_t requests_ = 0;
  std::size_t leaf_calls_ = 0;
  /// Times of the completions of the last second, at most a bounded number.
  std::deque<base::TimePoint> completions_;
  AdmissionCounters counters_;
};

}  // namespace berylreach::limits
