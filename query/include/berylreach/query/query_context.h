// Interface through which a query runner uses the state of its host.
#pragma once

#include <cstdint>
#include <vector>

#include "berylreach/base/clock.h"
#include "berylreach/base/quantile_window.h"
#include "berylreach/base/token_bucket.h"
#include "berylreach/model/call_id.h"
#include "berylreach/model/environment.h"
#include "berylreach/model/member.h"
#include "berylreach/model/names.h"
#include "berylreach/quarantine/quarantine.h"
#include "berylreach/routing/leaf_table.h"
#include "berylreach/routing/ownership_table.h"
#include "berylreach/routing/replica_index.h"

namespace berylreach::query {

/// State of the host that all its query runners share. Runners keep no copies
/// of it, because documents, members and leaf states change while queries run.
/// The context must outlive the runners.
class QueryContext {
 public:
  virtual ~QueryContext() = default;

  virtual const model::Environment& Environment() const = 0;
  virtual const std::vector<model::Member>& Members() const = 0;
  virtual const routing::OwnershipTable& Ownership() const = 0;
  virtual const model::ZoneName& OwnZone() const = 0;
  virtual routing::LeafTable& Leaves() = 0;
  /// The usable leaves of `service`, up to date at the time of the call.
  virtual const routing::ReplicaIndex& Replicas(
      const model::ServiceName& service) = 0;
  virtual quarantine::Quarantine& quarantine() = 0;
  /// Recent leaf latencies of `service`, including time queued at the owner.
  virtual base::QuantileWindow& Latency(const model::ServiceName& service) = 0;
  virtual base::TokenBucket& HedgeBudget() = 0;
  virtual base::TokenBucket& RetryBudget() = 0;
  /// Whether `OwnerUnconfirmed` is true for any leaf.
  virtual bool AnyOwnerUnconfirmed() const { return false; }
  /// Whether the owner of `leaf` may have stopped, or may not have taken the
  /// leaf over yet.
  virtual bool OwnerUnconfirmed(const model::LeafName& /*leaf*/) const {
    return false;
  }
  /// Expiry of the host's serving lease. No leaf call may run beyond it
  /// (docs/design.md, section 3.2).
  virtual base::TimePoint LeaseExpiry() const = 0;
  virtual model::CallId NextCallId() = 0;
  virtual std::uint64_t Random() = 0;
};

}  // namespace berylreach::query
