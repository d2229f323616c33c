// Compares the set in use with the newest one, and the leaves of both.
#include "berylreach/forward/shard_set_handover.h"

#include <algorithm>
#include <utility>

#include "berylreach/forward/min_answered.h"

namespace berylreach::forward {
namespace {

const Route* FindRoute(const Configuration& configuration,
                       const std::string& name) {
  const auto found =
      std::find_if(configuration.routes.begin(), configuration.routes.end(),
                   [&name](const Route& route) { return route.name == name; });
  return found == configuration.routes.end() ? nullptr : &*found;
}

const Service* FindService(const Configuration& configuration,
                           const std::string& name) {
  const auto found = std::find_if(
      configuration.services.begin(), configuration.services.end(),
      [&name](const Service& service) { return service.name == name; });
  return found == configuration.services.end() ? nullptr : &*found;
}

bool IsAllowedRegion(const Route& route, const std::string& region) {
  return route.regions.empty() ||
         std::find(route.regions.begin(), route.regions.end(), region) !=
             route.regions.end();
}

base::Duration ScaleBy(std::chrono::milliseconds span, double share) {
  return std::chrono::duration_cast<base::Duration>(span * share);
}

}  // namespace

ShardSetHandover::ShardSetHandover(const base::Clock& clock,
                                   const LeafDirectory& directory,
                                   std::chrono::milliseconds apply_time)
    : clock_(clock), directory_(directory), apply_time_(apply_time) {}

Configuration ShardSetHandover::OnConfiguration(Configuration newest,
                                                const Configuration* in_force) {
  // The former table outlives the routes in `former`, which refer to it.
  const Table former_newest = std::exchange(newest_, nullptr);
  const PendingByRoute former = std::exchange(pending_, {});
  if (in_force == nullptr) return newest;
  const auto waits = [in_force](const Route& route) {
    const Route* used = FindRoute(*in_force, route.name);
    return used != nullptr && used->scatters() && route.scatters() &&
           used->shards != route.shards;
  };
  if (std::none_of(newest.routes.begin(), newest.routes.end(), waits))
    return newest;
  newest_ = std::make_shared<const RouteTable>(std::move(newest));
  for (const Route& route : newest_->configuration().routes) {
    if (!waits(route)) continue;
    Pending pending = MakePending(route, *FindRoute(*in_force, route.name),
                                  *in_force, former);
    if (pending.named_at == clock_.Now())
      changes_.push_back({.route = route.name});
    pending_.emplace(route.name, std::move(pending));
  }
  ApplyDueChanges();
  return TakeComposed();
}

ShardSetHandover::Pending ShardSetHandover::MakePending(
    const Route& newest, const Route& used, const Configuration& in_force,
    const PendingByRoute& former) const {
  const base::TimePoint now = clock_.Now();
  Pending pending{.newest = &newest,
                  .shards = used.shards,
                  .named_at = now,
                  .superseded_at = now};
  for (const std::string& shard : used.shards)
    if (const Service* service = FindService(in_force, shard))
      pending.services.push_back(*service);
  const auto found = former.find(newest.name);
  if (found == former.end()) return pending;
  pending.superseded_at = found->second.superseded_at;
  if (found->second.newest->shards == newest.shards)
    pending.named_at = found->second.named_at;
  return pending;
}

std::optional<Configuration> ShardSetHandover::Tick() {
  if (!ApplyDueChanges()) return std::nullopt;
  return TakeComposed();
}

bool ShardSetHandover::ApplyDueChanges() {
  const std::size_t before = pending_.size();
  std::erase_if(pending_, [this](const auto& entry) {
    const Pending& pending = entry.second;
    const auto cause = CauseNow(pending);
    if (!cause) return false;
    changes_.push_back({.route = entry.first,
                        .cause = cause,
                        .waited = clock_.Now() - pending.named_at});
    return true;
  });
  return pending_.size() != before;
}

std::optional<ShardSetHandover::Cause> ShardSetHandover::CauseNow(
    const Pending& pending) const {
  const base::TimePoint now = clock_.Now();
  const Route& newest = *pending.newest;
  const bool prepared = now - pending.named_at >= kMinPreparation;
  if (prepared && CountServed(newest.shards, newest, /*only_warm=*/true) >=
                      MinReady(newest))
    return Cause::kReady;
  if (CountServed(pending.shards, newest, /*only_warm=*/false) <
      MinAnswered(pending.shards.size(), newest.minimum_coverage))
    return Cause::kOldSetGone;
  if (now >= Deadline(pending)) return Cause::kTime;
  return std::nullopt;
}

base::TimePoint ShardSetHandover::Deadline(const Pending& pending) const {
  return std::min(pending.named_at + ScaleBy(apply_time_, kMaxWaitShare),
                  pending.superseded_at + ScaleBy(apply_time_, kMaxUseShare));
}

base::TimePoint ShardSetHandover::ExpectedChange(const Pending& pending) const {
  const Route& newest = *pending.newest;
  const base::TimePoint deadline = Deadline(pending);
  base::TimePoint warm_at = pending.named_at + kMinPreparation;
  for (const std::string& shard : newest.shards) {
    base::TimePoint shard_warm_at = deadline;
    directory_.ForEachUsable(shard, [&](const auto& leaf) {
      if (IsAllowedRegion(newest, leaf->region()))
        shard_warm_at = std::min(shard_warm_at, leaf->cold_until());
    });
    warm_at = std::max(warm_at, shard_warm_at);
  }
  return std::min(warm_at, deadline);
}

std::size_t ShardSetHandover::CountServed(
    const std::vector<std::string>& shards, const Route& route,
    bool only_warm) const {
  const base::TimePoint now = clock_.Now();
  const auto is_served = [&](const std::string& shard) {
    bool served = false;
    directory_.ForEachUsable(shard, [&](const auto& leaf) {
      served = served || (IsAllowedRegion(route, leaf->region()) &&
                          !(only_warm && leaf->IsCold(now)));
    });
    return served;
  };
  return static_cast<std::size_t>(
      std::count_if(shards.begin(), shards.end(), is_served));
}

std::size_t ShardSetHandover::MinReady(const Route& newest) {
  const std::size_t total = newest.shards.size();
  const std::size_t optional =
      total - MinAnswered(total, newest.minimum_coverage);
  return total - optional / 2;
}

Configuration ShardSetHandover::TakeComposed() {
  Configuration composed = newest_->configuration();
  if (pending_.empty()) newest_.reset();
  for (Route& route : composed.routes) {
    const auto found = pending_.find(route.name);
    if (found == pending_.end()) continue;
    route.shards = found->second.shards;
    for (const Service& service : found->second.services)
      if (FindService(composed, service.name) == nullptr)
        composed.services.push_back(service);
  }
  return composed;
}

std::vector<ShardSetHandover::Change> ShardSetHandover::TakeChanges() {
  return std::exchange(changes_, {});
}

}  // namespace berylreach::forward
