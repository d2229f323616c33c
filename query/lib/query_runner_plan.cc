// Planning of a query: snapshot, canary, fan-out and re-planning.
#include <algorithm>
#include <string>

#include "berylreach/base/hash.h"
#include "berylreach/query/query_runner.h"
#include "berylreach/routing/choose_snapshot.h"

namespace berylreach::query {
namespace {

// Shards compared when the canary's shard is chosen; comparing all of 720 would
// cost more than it gains.
constexpr std::size_t kCanaryCandidates = 8;
// A repeat cannot succeed.
constexpr std::chrono::milliseconds kNever{0};
// Weighs more than any work per slot, so that the own zone comes first.
constexpr double kOtherZoneCost = 1e6;

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
           "unknown service " + request_.service.value, kNever, out);
  } else if (!Accepts(*service, request_.kind)) {
    Refuse(model::ErrorCode::kBadRequest,
           "the service does not accept requests of this kind", kNever, out);
  } else if (request_.deadline <= clock_.Now()) {
    Refuse(model::ErrorCode::kDeadlineInPast, "the deadline has passed", kNever,
           out);
  } else if (CurrentStanding() == quarantine::Standing::kBlocked) {
    RefuseBlocked(std::chrono::milliseconds(0), out);
  }
  return Decided();
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
  Conclude(out);
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
  switch (CurrentStanding()) {
    case quarantine::Standing::kBlocked:
      RefuseBlocked(std::chrono::milliseconds(0), out);
      return;
    case quarantine::Standing::kProven:
      LaunchAll(out);
      return;
    case quarantine::Standing::kUnproven:
    case quarantine::Standing::kSuspect:
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
  const bool suspect = CurrentStanding() == quarantine::Standing::kSuspect;
  // Each pass either sends the canary or gives up one shard.
  while (ShardProgress* shard = CanaryShard(suspect)) {
    if (Send(*shard, /*hedge=*/false, /*extra=*/false, out)) return;
    MarkMissing(*shard, model::MissingReason::kNoReplica);
  }
}

ShardProgress* QueryRunner::CanaryShard(bool suspect) {
  ShardProgress* best = nullptr;
  double best_cost = 0;
  std::size_t compared = 0;
  const std::size_t offset = context_.Random() % shards_.size();
  for (std::size_t i = 0; i < shards_.size(); ++i) {
    ShardProgress& shard = shards_[(offset + i) % shards_.size()];
    if (!shard.Open() || shard.started) continue;
    const routing::ReplicaIndex& index = context_.Replicas(request_.service);
    const auto replicas =
        index.Replicas(snapshot_.version, snapshot_.shard_count, shard.shard);
    // A suspect goes to the shard with most replicas, which can best spare one.
    const double cost =
        suspect ? -static_cast<double>(replicas.size()) : CanaryCost(shard);
    if (best == nullptr || cost < best_cost) {
      best = &shard;
      best_cost = cost;
    }
    if (!suspect && ++compared == kCanaryCandidates) break;
  }
  return best;
}

double QueryRunner::CanaryCost(const ShardProgress& shard) const {
  double least = 2 * kOtherZoneCost;
  const routing::ReplicaIndex& index = context_.Replicas(request_.service);
  for (const routing::Replica& replica :
       index.Replicas(snapshot_.version, snapshot_.shard_count, shard.shard)) {
    double cost =
        static_cast<double>(context_.Leaves().PendingWork(replica.leaf)) /
        replica.slots;
    if (replica.zone != context_.OwnZone()) cost += kOtherZoneCost;
    least = std::min(least, cost);
  }
  return least;
}

bool QueryRunner::ReachesFurther(const routing::Snapshot& snapshot) const {
  // The shard whose version has gone is still open and counts as lost.
  const std::uint64_t reachable = shards_.size() - missing_shards_ - 1;
  return std::uint64_t{snapshot.shards_held} * shards_.size() >
         reachable * snapshot.shard_count;
}

bool QueryRunner::TryReplan(std::vector<Action>& out) {
  if (plans_ >= kMaxPlans) return false;
  excluded_versions_.push_back(snapshot_.version);
  const auto snapshot = routing::ChooseSnapshot(
      context_.Replicas(request_.service), excluded_versions_);
  if (!snapshot || !ReachesFurther(*snapshot)) {
    excluded_versions_.pop_back();
    return false;
  }
  Record("query_replanned", request_.service.value,
         "version " + std::to_string(snapshot_.version) + " to " +
             std::to_string(snapshot->version),
         out);
  WithdrawAll(out);
  Adopt(*snapshot);
  Launch(out);
  return true;
}

}  // namespace berylreach::query
