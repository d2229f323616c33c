// State that the components of a HostCore share.
#include "berylreach/core/shared_state.h"

#include <cstddef>
#include <utility>

namespace berylreach::core {
namespace {

// Hedges per leaf call. The design allows at most 5% extra leaf calls by
// hedging; the ratio is slightly lower because the burst comes on top of it.
constexpr double kHedgeRatio = 0.049;
constexpr double kHedgeBurst = 50;
constexpr double kRetryRatio = 0.1;
// Burst of retries. After an idle period a query of 20 shards can retry each
// shard once.
constexpr double kRetryBurst = 20;
constexpr std::size_t kLatencySamples = 1000;

}  // namespace

SharedState::SharedState(const base::Clock& clock, model::Member self)
    : clock_(clock),
      self_(std::move(self)),
      leaves_(clock),
      replicas_(clock),
      quarantine_(clock),
      hedge_budget_(kHedgeRatio, kHedgeBurst),
      retry_budget_(kRetryRatio, kRetryBurst),
      random_state_(self_.incarnation) {}

const routing::ReplicaIndex& SharedState::Replicas(
    const model::ServiceName& service) {
  return replicas_.Get(environment_, document_version_, service, leaves_);
}

void SharedState::OnLeafState(const model::LeafState& state) {
  leaves_.Merge(state);
  const model::HostName* owner = ownership_.Owner(state.leaf);
  if (owner != nullptr && *owner == state.owner)
    unpublished_takeovers_.erase(state.leaf);
}

void SharedState::FindUnpublishedTakeovers() {
  unpublished_takeovers_.clear();
  for (const model::LeafState& state : leaves_.States()) {
    const model::HostName* owner = ownership_.Owner(state.leaf);
    if (owner != nullptr && *owner != state.owner)
      unpublished_takeovers_.insert(state.leaf);
  }
}

bool SharedState::OwnerUnconfirmed(const model::LeafName& leaf) const {
  if (unpublished_takeovers_.contains(leaf)) return true;
  const model::HostName* owner = ownership_.Owner(leaf);
  return owner != nullptr && unconfirmed_.Contains(*owner);
}

base::QuantileWindow& SharedState::Latency(const model::ServiceName& service) {
  return latencies_.try_emplace(service, kLatencySamples).first->second;
}

std::uint64_t SharedState::Random() {
  // SplitMix64, seeded by the incarnation, so that a test with a fixed
  // incarnation is reproducible.
  random_state_ += 0x9E3779B97F4A7C15ULL;
  std::uint64_t mixed = random_state_;
  mixed = (mixed ^ (mixed >> 30)) * 0xBF58476D1CE4E5B9ULL;
  mixed = (mixed ^ (mixed >> 27)) * 0x94D049BB133111EBULL;
  return mixed ^ (mixed >> 31);
}

void SharedState::Adopt(std::uint64_t document_version,
                        const model::Environment& environment,
                        std::uint64_t epoch,
                        const std::vector<model::Member>& members) {
  if (members != members_) quarantine_.OnMembersChanged();
  document_version_ = document_version;
  environment_ = environment;
  members_ = members;
  ownership_ =
      routing::OwnershipTable(epoch, document_version, environment_, members_);
  leaves_.Retain(environment_);
  FindUnpublishedTakeovers();
}

}  // namespace berylreach::core
