// Adopts configurations, and changes routes to new sets of shards.
#include <algorithm>
#include <cstdint>
#include <utility>
#include <vector>

#include "berylreach/base/hash.h"
#include "berylreach/forward/allowed_regions.h"
#include "berylreach/gateway/gateway.h"
#include "berylreach/host/log.h"

namespace berylreach::gateway {
namespace {

using std::chrono::milliseconds;
using Cause = forward::ShardSetHandover::Cause;

/// Connections are opened evenly over the time until the change less this
/// margin, in which the last ones are established and failed ones repeated.
constexpr milliseconds kOpeningMargin{200};
/// Interval of AdvanceShardSets.
constexpr milliseconds kInterval{100};

std::string_view NameOf(Cause cause) {
  switch (cause) {
    case Cause::kReady:
      return "ready";
    case Cause::kTime:
      return "time";
    case Cause::kOldSetGone:
      return "old set gone";
  }
  return "";
}

std::int64_t InMilliseconds(base::Duration duration) {
  return std::chrono::duration_cast<milliseconds>(duration).count();
}

/// Number of `missing` connections to open now, so that all are open in `left`.
std::size_t OpeningsDue(std::size_t missing, base::Duration left) {
  const auto turns =
      std::max<std::int64_t>(1, (left - kOpeningMargin) / kInterval);
  const auto count = static_cast<std::size_t>(turns);
  return (missing + count - 1) / count;
}

}  // namespace

void Gateway::SetConfiguration(forward::Configuration configuration,
                               base::TimePoint acknowledged_after) {
  const auto& in_force = tables_.current();
  const auto& waiting = shard_sets_.waiting();
  const auto& newest = waiting != nullptr ? waiting : in_force;
  if (newest != nullptr &&
      configuration.version <= newest->configuration().version)
    return;
  // A host that starts has served nothing yet and uses the newest sets.
  const bool has_served = in_force != nullptr && directory_loaded_;
  auto due = shard_sets_.OnConfiguration(
      std::move(configuration),
      has_served ? &in_force->configuration() : nullptr, acknowledged_after);
  if (due) AdoptConfiguration(std::move(*due));
  LogShardSetChanges();
}

void Gateway::AdoptConfiguration(forward::Configuration configuration) {
  tables_.Adopt(std::move(configuration));
  const forward::Configuration& adopted = tables_.current()->configuration();
  tenant_metrics_.KeepTenantsOf(*tables_.current());
  SetQuotas(adopted);
  host::LogStateChange(
      "configuration_adopted", std::to_string(adopted.version),
      std::to_string(adopted.routes.size()) + " routes" +
          (adopted.tenants.empty()
               ? ""
               : ", " + std::to_string(adopted.tenants.size()) + " tenants"));
}

void Gateway::AdvanceShardSets() {
  if (auto due = shard_sets_.Tick()) AdoptConfiguration(std::move(*due));
  LogShardSetChanges();
  if (stopping_ || shard_sets_.pending() == 0) return;
  shard_sets_.ForEachPending(
      [this](const forward::Route& route, base::TimePoint change_at) {
        OpenAhead(route, change_at);
      });
  planner_.ForEachLinkedHost([this](const forward::LeafRecord& host) {
    leaf_connections_.KeepConnected(host);
  });
}

void Gateway::OpenAhead(const forward::Route& route,
                        base::TimePoint change_at) {
  const base::TimePoint now = clock_.Now();
  std::vector<std::pair<std::uint64_t, std::shared_ptr<forward::LeafRecord>>>
      missing;
  const std::uint64_t seed = base::Hash64(settings_.host);
  const auto add = [&](const std::shared_ptr<forward::LeafRecord>& leaf) {
    const std::string& id = leaf->entry().id;
    if (!forward::IsAllowedRegion(route.regions, leaf->region()) ||
        leaf->IsBackedOff(now) || leaf->IsPaused(now) ||
        leaf_connections_.HasConnection(id))
      return;
    missing.emplace_back(base::Hash64(id) ^ seed, leaf);
  };
  for (const std::size_t shard :
       planner_.PlanPending(*shard_sets_.waiting(), route))
    directory_.ForEachUsable(route.shards[shard], add);
  // Each host has another order, so that few of them connect to a leaf at once.
  std::sort(missing.begin(), missing.end());
  missing.resize(OpeningsDue(missing.size(), change_at - now));
  for (const auto& [order, leaf] : missing) leaf_connections_.Warm(*leaf);
}

void Gateway::LogShardSetChanges() {
  for (const auto& change : shard_sets_.TakeChanges()) {
    if (!change.cause) {
      host::LogStateChange(
          "shard_set_pending", change.route,
          "version " + std::to_string(change.version) + ", for at most " +
              std::to_string(InMilliseconds(change.max_wait)) + " ms");
      continue;
    }
    if (*change.cause == Cause::kReady) ++counters_.shard_sets_ready;
    if (*change.cause == Cause::kTime) ++counters_.shard_sets_timed;
    if (*change.cause == Cause::kOldSetGone) ++counters_.shard_sets_old_gone;
    host::LogStateChange("shard_set_adopted", change.route,
                         std::string(NameOf(*change.cause)) + " after " +
                             std::to_string(InMilliseconds(change.waited)) +
                             " ms");
  }
}

}  // namespace berylreach::gateway
