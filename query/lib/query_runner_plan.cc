// Planning of a query: snapshot, canary, fan-out and replanning.
#include <algorithm>
#include <string>

#include "berylreach/base/hash.h"
#include "berylreach/query/query_runner.h"
#include "berylreach/routing/choose_snapshot.h"

namespace berylreach::query {
namespace {

// Retry time of refusals of requests that cannot succeed when repeated.
constexpr std::chrono::milliseconds kNoRetry{0};

bool Accepts(const model::Service& service, model::RequestKind kind) {
  return kind != model::RequestKind::kOrder &&
         std::count(service.accepts.begin(), service.accepts.end(), kind) > 0;
}

}  // namespace

bool QueryRunner::RefuseInvalid(std::vector<Action>& out) {
  const model::Service* service =
      model::FindService(context_.Environment(), request_.service);
  if (service == nullptr) {
    Refuse(model::ErrorCode::kUnknownService,
           "unknown service " + request_.service.value, kNoRetry, out);
  } else if (!Accepts(*service, request_.kind)) {
    Refuse(model::ErrorCode::kBadRequest,
           "the service does not accept requests of this kind", kNoRetry, out);
  } else if (request_.deadline <= clock_.Now()) {
    Refuse(model::ErrorCode::kDeadlineInPast, "the deadline has passed",
           kNoRetry, out);
  } else if (CurrentTrustLevel() == quarantine::TrustLevel::kBlocked) {
    RefuseBlocked(std::chrono::milliseconds(0), out);
  }
  return finished();
}

void QueryRunner::Plan(std::vector<Action>& out) {
  const auto snapshot = routing::ChooseSnapshot(
      context_.Replicas(request_.service), excluded_versions_);
  if (!snapshot) {
    const model::Service* service =
        model::FindService(context_.Environment(), request_.service);
    Refuse(model::ErrorCode::kNoSnapshot,
           "no usable leaf holds a version; 0 of " +
               std::to_string(service->shards) + " shards available",
           kRetryAfter, out);
    return;
  }
  Adopt(*snapshot);
  Launch(out);
  TryFinish(out);
}

void QueryRunner::Adopt(const routing::Snapshot& snapshot) {
  ++plans_;
  snapshot_ = snapshot;
  shards_.clear();
  if (request_.kind == model::RequestKind::kLookup) {
    shards_.emplace_back().shard = static_cast<std::uint32_t>(
        base::Hash64(request_.key) % snapshot.shard_count);
  } else {
    shards_.resize(snapshot.shard_count);
    for (std::uint32_t i = 0; i < snapshot.shard_count; ++i) {
      shards_[i].shard = i;
    }
  }
  open_shards_ = static_cast<std::uint32_t>(shards_.size());
  missing_shards_ = 0;
  full_canary_leaves_.clear();
  canary_may_queue_ = false;
  next_hedge_ = base::TimePoint::max();
  const routing::ReplicaIndex& index = context_.Replicas(request_.service);
  for (ShardProgress& shard : shards_) {
    const auto& replicas =
        index.Replicas(snapshot.version, snapshot.shard_count, shard.shard);
    if (replicas.empty()) {
      MarkMissing(shard, model::MissingReason::kNoReplica);
    }
  }
}

void QueryRunner::Launch(std::vector<Action>& out) {
  if (CoverageOutOfReach()) return;
  switch (CurrentTrustLevel()) {
    case quarantine::TrustLevel::kBlocked:
      RefuseBlocked(std::chrono::milliseconds(0), out);
      return;
    case quarantine::TrustLevel::kProven:
      LaunchAll(out);
      return;
    case quarantine::TrustLevel::kUnproven:
    case quarantine::TrustLevel::kSuspect:
      LaunchCanary(out);
      return;
  }
}

void QueryRunner::LaunchAll(std::vector<Action>& out) {
  canary_phase_ = false;
  for (ShardProgress& shard : shards_) {
    if (!shard.Open() || shard.started) continue;
    if (!Send(shard, /*hedge=*/false, /*extra=*/false, out)) {
      MarkMissing(shard, model::MissingReason::kNoReplica);
    }
  }
}

void QueryRunner::LaunchCanary(std::vector<Action>& out) {
  canary_phase_ = true;
  // Each iteration either sends the canary or gives up one shard.
  while (ShardProgress* shard = CanaryShard()) {
    if (Send(*shard, /*hedge=*/false, /*extra=*/false, out)) return;
    MarkMissing(*shard, model::MissingReason::kNoReplica);
  }
}

ShardProgress* QueryRunner::CanaryShard() {
  if (CurrentTrustLevel() == quarantine::TrustLevel::kSuspect) {
    return SuspectShard();
  }
  std::vector<std::uint32_t> candidates;
  for (const ShardProgress& shard : shards_) {
    if (shard.Open() && !shard.started) candidates.push_back(shard.shard);
  }
  if (candidates.empty()) return nullptr;
  auto placement = PickCanary(candidates);
  // Waiting for a slot in the own region takes less time than a call to another
  // region.
  const bool in_own_region =
      placement && placement->replica.region == OwnRegion();
  if (!in_own_region && !full_canary_leaves_.empty()) {
    QueueCanaryAtFirstChoice();
    placement = PickCanary(candidates);
  }
  const std::uint32_t chosen =
      placement ? placement->shard : candidates.front();
  return &shards_[static_cast<std::size_t>(&ProgressOf(chosen) -
                                           shards_.data())];
}

const ShardProgress& QueryRunner::ProgressOf(std::uint32_t shard) const {
  // A lookup has one entry; a query has one per shard, in order.
  return shards_.size() == 1 ? shards_.front() : shards_.at(shard);
}

// Lets the canary queue at the leaf that it was first sent to. All hosts of the
// region choose this leaf for their copies of the request, so its owner already
// knows the copy that arrived first.
void QueryRunner::QueueCanaryAtFirstChoice() {
  full_canary_leaves_.clear();
  canary_may_queue_ = true;
}

// Returns the shard with the most replicas, because a crash of one of them
// affects it least.
ShardProgress* QueryRunner::SuspectShard() {
  ShardProgress* best = nullptr;
  std::size_t max_replicas = 0;
  const routing::ReplicaIndex& index = context_.Replicas(request_.service);
  const std::size_t offset = context_.Random() % shards_.size();
  for (std::size_t i = 0; i < shards_.size(); ++i) {
    ShardProgress& shard = shards_[(offset + i) % shards_.size()];
    if (!shard.Open() || shard.started) continue;
    const std::size_t replicas =
        index.Replicas(snapshot_.version, snapshot_.shard_count, shard.shard)
            .size();
    if (best != nullptr && replicas <= max_replicas) continue;
    best = &shard;
    max_replicas = replicas;
  }
  return best;
}

bool QueryRunner::HoldsMoreShards(const routing::Snapshot& snapshot) const {
  // The shard whose leaf no longer holds the version is still open, but counts
  // as missing here.
  const std::uint64_t reachable = shards_.size() - missing_shards_ - 1;
  return std::uint64_t{snapshot.available_shards} * shards_.size() >
         reachable * snapshot.shard_count;
}

bool QueryRunner::TryReplan(std::vector<Action>& out) {
  if (plans_ >= kMaxPlans) return false;
  excluded_versions_.push_back(snapshot_.version);
  const auto snapshot = routing::ChooseSnapshot(
      context_.Replicas(request_.service), excluded_versions_);
  if (!snapshot || !HoldsMoreShards(*snapshot)) {
    excluded_versions_.pop_back();
    return false;
  }
  Record("query_replanned", request_.service.value,
         "version " + std::to_string(snapshot_.version) + " to " +
             std::to_string(snapshot->version),
         out);
  CancelAllCalls(out);
  Adopt(*snapshot);
  Launch(out);
  return true;
}

}  // namespace berylreach::query
