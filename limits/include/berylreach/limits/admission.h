// Admission control of an entry host: bounds its caller requests and leaf
// calls.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string_view>

#include "berylreach/base/clock.h"
#include "berylreach/limits/admission_counters.h"
#include "berylreach/limits/admission_decision.h"
#include "berylreach/limits/admission_options.h"
#include "berylreach/limits/tenant_room.h"

namespace berylreach::limits {

/// Admits or refuses caller requests immediately. Priority 0 may use the whole
/// bound and each further priority a tenth less, down to half of it, so that
/// priority 0 is shed last. Among tenants, the capacity for the least urgent of
/// their priorities is divided as TenantRoom does, so that a tenant with a more
/// urgent priority takes no more than its share from the others. Not
/// thread-safe.
class Admission {
 public:
  Admission(const base::Clock& clock, AdmissionOptions options);

  /// Admits or refuses a caller request that will make about `leaf_calls` leaf
  /// calls (its shard count; 1 for lookups and orders). Each admitted request
  /// must end with OnRequestDone.
  /// `tenant` names the tenant that the request belongs to; requests that have
  /// none are not limited by shares of tenants.
  AdmissionDecision Admit(std::uint32_t priority, std::size_t leaf_calls,
                          std::optional<std::string_view> tenant = {});

  /// An admitted request has ended. The arguments are those that were passed to
  /// Admit.
  void OnRequestDone(std::size_t leaf_calls,
                     std::optional<std::string_view> tenant = {});

  /// Admitted caller requests in flight.
  std::size_t requests() const { return requests_; }
  /// Leaf calls in flight, as declared to Admit.
  std::size_t leaf_calls() const { return leaf_calls_; }
  const AdmissionCounters& counters() const { return counters_; }

 private:
  /// Returns by how many requests the tenant would exceed its share.
  std::size_t ExcessOfTenant(std::string_view tenant, std::uint32_t priority,
                             std::size_t leaf_calls);
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
  TenantRoom tenants_;
  AdmissionCounters counters_;
};

}  // namespace berylreach::limits
