// State that the components of a HostCore share.
#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "berylreach/base/clock.h"
#include "berylreach/base/quantile_window.h"
#include "berylreach/base/token_bucket.h"
#include "berylreach/core/unconfirmed_hosts.h"
#include "berylreach/model/environment.h"
#include "berylreach/model/member.h"
#include "berylreach/quarantine/quarantine.h"
#include "berylreach/query/query_context.h"
#include "berylreach/routing/leaf_table.h"
#include "berylreach/routing/ownership_table.h"
#include "berylreach/routing/replica_index_cache.h"

namespace berylreach::core {

/// The state of the host that running requests use: document, members,
/// ownership, leaves, quarantine and budgets. HostCore keeps it up to date.
class SharedState final : public query::QueryContext {
 public:
  SharedState(const base::Clock& clock, model::Member self);

  const model::Environment& Environment() const override {
    return environment_;
  }
  const std::vector<model::Member>& Members() const override {
    return members_;
  }
  const routing::OwnershipTable& Ownership() const override {
    return ownership_;
  }
  const model::ZoneName& OwnZone() const override { return self_.zone; }
  routing::LeafTable& Leaves() override { return leaves_; }
  const routing::ReplicaIndex& Replicas(
      const model::ServiceName& service) override;
  quarantine::Quarantine& quarantine() override { return quarantine_; }
  base::QuantileWindow& Latency(const model::ServiceName& service) override;
  base::TokenBucket& HedgeBudget() override { return hedge_budget_; }
  base::TokenBucket& RetryBudget() override { return retry_budget_; }
  bool AnyOwnerUnconfirmed() const override {
    return !unconfirmed_.empty() || !unpublished_takeovers_.empty();
  }
  bool OwnerUnconfirmed(const model::LeafName& leaf) const override;
  base::TimePoint LeaseExpiry() const override { return lease_expiry_; }
  model::CallId NextCallId() override {
    return {self_.incarnation, ++last_call_};
  }
  std::uint64_t Random() override;

  UnconfirmedHosts& Unconfirmed() { return unconfirmed_; }

  std::optional<base::TimePoint> NextQuarantineWakeup() const {
    return quarantine_.NextWakeup();
  }

  const model::Member& self() const { return self_; }
  std::uint64_t document_version() const { return document_version_; }
  bool HoldsLease() const { return clock_.Now() < lease_expiry_; }

  /// Merges the state of a leaf that its owner has published.
  void OnLeafState(const model::LeafState& state);

  /// Puts a document or a set of members in force and recomputes ownership.
  void Adopt(std::uint64_t document_version,
             const model::Environment& environment, std::uint64_t epoch,
             const std::vector<model::Member>& members);
  void SetLeaseExpiry(base::TimePoint expiry) { lease_expiry_ = expiry; }

 private:
  /// Finds the leaves whose new owner has published no state yet.
  void FindUnpublishedTakeovers();

  const base::Clock& clock_;
  model::Member self_;
  model::Environment environment_;
  std::uint64_t document_version_ = 0;
  std::vector<model::Member> members_;
  routing::OwnershipTable ownership_;
  UnconfirmedHosts unconfirmed_;
  /// Leaves whose takeover is not known to be complete: their state was
  /// published by an earlier owner.
  std::unordered_set<model::LeafName> unpublished_takeovers_;
  routing::LeafTable leaves_;
  routing::ReplicaIndexCache replicas_;
  quarantine::Quarantine quarantine_;
  std::unordered_map<model::ServiceName, base::QuantileWindow> latencies_;
  base::TokenBucket hedge_budget_;
  base::TokenBucket retry_budget_;
  base::TimePoint lease_expiry_ = base::TimePoint::min();
  std::uint64_t last_call_ = 0;
  std::uint64_t random_state_;
};

}  // namespace berylreach::core
