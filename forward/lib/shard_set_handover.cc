// Compares the set in use with the newest one, and the leaves of both.
#include "berylreach/forward/shard_set_handover.h"

#include <algorithm>
#include <utility>

#include "berylreach/forward/allowed_regions.h"
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

/// Whether a region that `before` allowed may no longer be used after it.
bool TakesRegionsAway(const std::vector<std::string>& before,
                      const std::vector<std::string>& after) {
  if (after.empty()) return false;
  return before.empty() || std::any_of(before.begin(), before.end(),
                                       [&after](const auto& region) {
                                         return !IsAllowedRegion(after, region);
                                       });
}

/// Number of shards of the newest set that must have a leaf that is not cold.
std::size_t MinReady(const Route& newest) {
  const std::size_t total = newest.shards.size();
  const std::size_t optional =
      total - MinAnswered(total, newest.minimum_coverage);
  return total - optional / 2;
}

}  // namespace

ShardSetHandover::ShardSetHandover(const base::Clock& clock,
                                   const LeafDirectory& directory,
                                   std::chrono::milliseconds apply_time)
    : clock_(clock), directory_(directory), apply_time_(apply_time) {}

std::optional<Configuration> ShardSetHandover::OnConfiguration(
    Configuration newest, const Configuration* in_force,
    base::TimePoint acknowledged_after) {
  // The former table outlives the routes in `former`, which refer to it.
  const Table former_table = std::exchange(waiting_, nullptr);
  const PendingByRoute former = std::exchange(pending_, {});
  if (in_force == nullptr) return newest;
  if (former_table == nullptr) deadline_ = LatestChange(acknowledged_after);
  waiting_ = std::make_shared<const RouteTable>(std::move(newest));
  pending_ = PendingRoutes(*in_force, former);
  const bool takes_regions_away = std::any_of(
      pending_.begin(), pending_.end(), [in_force](const auto& entry) {
        return TakesRegionsAway(FindRoute(*in_force, entry.first)->regions,
                                entry.second.newest->regions);
      });
  if (pending_.empty())
    return std::exchange(waiting_, nullptr)->configuration();
  return takes_regions_away ? TakeWaiting(Cause::kOldSetGone) : Tick();
}

ShardSetHandover::PendingByRoute ShardSetHandover::PendingRoutes(
    const Configuration& in_force, const PendingByRoute& former) {
  PendingByRoute routes;
  for (const Route& route : waiting_->configuration().routes) {
    const Route* used = FindRoute(in_force, route.name);
    if (used == nullptr || !used->scatters() || !route.scatters() ||
        used->shards == route.shards)
      continue;
    Pending pending{
        .newest = &route, .shards = used->shards, .named_at = clock_.Now()};
    const auto found = former.find(route.name);
    if (found != former.end() && found->second.newest->shards == route.shards) {
      pending.named_at = found->second.named_at;
    } else {
      changes_.push_back({.route = route.name,
                          .version = waiting_->configuration().version,
                          .max_wait = std::max(base::Duration::zero(),
                                               deadline_ - clock_.Now())});
    }
    routes.emplace(route.name, std::move(pending));
  }
  return routes;
}

std::optional<Configuration> ShardSetHandover::Tick() {
  if (waiting_ == nullptr) return std::nullopt;
  const auto cause = CauseNow();
  if (!cause) return std::nullopt;
  return TakeWaiting(*cause);
}

Configuration ShardSetHandover::TakeWaiting(Cause cause) {
  for (const auto& [name, pending] : std::exchange(pending_, {}))
    changes_.push_back({.route = name,
                        .version = waiting_->configuration().version,
                        .cause = cause,
                        .waited = clock_.Now() - pending.named_at});
  return std::exchange(waiting_, nullptr)->configuration();
}

std::optional<ShardSetHandover::Cause> ShardSetHandover::CauseNow() const {
  const auto all_of = [this](auto condition) {
    return std::all_of(
        pending_.begin(), pending_.end(),
        [&condition](const auto& entry) { return condition(entry.second); });
  };
  if (all_of([this](const Pending& pending) { return IsReady(pending); }))
    return Cause::kReady;
  if (!all_of(
          [this](const Pending& pending) { return !IsSetInUseGone(pending); }))
    return Cause::kOldSetGone;
  if (clock_.Now() >= deadline_) return Cause::kTime;
  return std::nullopt;
}

bool ShardSetHandover::IsReady(const Pending& pending) const {
  const Route& newest = *pending.newest;
  return clock_.Now() - pending.named_at >= kMinPreparation &&
         CountServed(newest.shards, newest, /*only_warm=*/true) >=
             MinReady(newest);
}

bool ShardSetHandover::IsSetInUseGone(const Pending& pending) const {
  const Route& newest = *pending.newest;
  return CountServed(pending.shards, newest, /*only_warm=*/false) <
         MinAnswered(pending.shards.size(), newest.minimum_coverage);
}

base::TimePoint ShardSetHandover::LatestChange(
    base::TimePoint acknowledged_after) const {
  const auto max_wait =
      std::chrono::duration_cast<base::Duration>(apply_time_ * kMaxWaitShare);
  return std::min(clock_.Now() + max_wait,
                  acknowledged_after + (apply_time_ - kApplyMargin));
}

base::TimePoint ShardSetHandover::ExpectedChange() const {
  base::TimePoint ready_at{};
  for (const auto& [name, pending] : pending_) {
    const Route& newest = *pending.newest;
    ready_at = std::max(ready_at, pending.named_at + kMinPreparation);
    for (const std::string& shard : newest.shards) {
      base::TimePoint warm_at = deadline_;
      directory_.ForEachUsable(shard, [&](const auto& leaf) {
        if (IsAllowedRegion(newest.regions, leaf->region()))
          warm_at = std::min(warm_at, leaf->cold_until());
      });
      ready_at = std::max(ready_at, warm_at);
    }
  }
  return std::min(ready_at, deadline_);
}

std::size_t ShardSetHandover::CountServed(
    const std::vector<std::string>& shards, const Route& route,
    bool only_warm) const {
  const base::TimePoint now = clock_.Now();
  const auto is_served = [&](const std::string& shard) {
    bool served = false;
    directory_.ForEachUsable(shard, [&](const auto& leaf) {
      served = served || (IsAllowedRegion(route.regions, leaf->region()) &&
                          !(only_warm && leaf->IsCold(now)));
    });
    return served;
  };
  return static_cast<std::size_t>(
      std::count_if(shards.begin(), shards.end(), is_served));
}

std::vector<ShardSetHandover::Change> ShardSetHandover::TakeChanges() {
  return std::exchange(changes_, {});
}

}  // namespace berylreach::forward
