// Compares the usable leaves of a service by expected latency.
#include "berylreach/forward/leaf_selector.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "berylreach/base/hash.h"
#include "berylreach/base/rendezvous.h"
#include "berylreach/forward/allowed_regions.h"
#include "berylreach/forward/version_shifts.h"

namespace berylreach::forward {
namespace {

/// Maximum random increase of a leaf's expected latency, as a fraction.
constexpr double kMaxJitter = 0.1;

/// Added to the expected latency of a leaf that is selected only if there is no
/// other.
constexpr std::chrono::seconds kAvoidedLeafPenalty{1};

/// A request waits this long for a leaf whose rate limit permits no call yet,
/// instead of being refused or answered without the leaf's shard.
constexpr std::chrono::milliseconds kShortWait{30};

/// Minimum number of connections of one host to a leaf. With fewer, most calls
/// would need a new connection.
constexpr std::size_t kMinUsefulConnections = 2;

/// Fraction of a leaf's connections that hosts use.
constexpr double kUsedConnectionShare = 0.75;

/// How the used connections are divided among the roles of hosts. A host that
/// is no coordinator has no share; ConnectionShare allows it one connection,
/// for when it has to run a request itself.
constexpr RoleShares kConnectionShares{
    .owners = 0.5, .coordinators = 0.5, .new_coordinators = 0.5, .hosts = 0};

template <typename T>
bool Contains(const std::vector<T>* values, const T& value) {
  return values != nullptr &&
         std::find(values->begin(), values->end(), value) != values->end();
}

bool AllowsRegionOf(const LeafQuery& query, const LeafRecord& leaf) {
  return query.regions == nullptr ||
         IsAllowedRegion(*query.regions, leaf.region());
}

/// Whether a call may go to the leaf. `last_resort` tells whether no leaf of a
/// version other than those of last resort is listed.
bool MayUse(const VersionPermit& permit, const LeafRecord& leaf,
            bool last_resort) {
  const VersionUse use = permit.UseOf(leaf.entry().version);
  if (use == VersionUse::kIfNoOtherListed) return last_resort;
  return use != VersionUse::kNever;
}

}  // namespace

base::Duration JitteredCost(const LeafRecord& leaf, std::uint64_t seed,
                            base::TimePoint now, const RouteLatency* route) {
  const std::uint64_t weight =
      base::RendezvousWeight(seed, base::Hash64(leaf.entry().id));
  const double jitter =
      kMaxJitter * static_cast<double>(weight) /
      static_cast<double>(std::numeric_limits<std::uint64_t>::max());
  return std::chrono::duration_cast<base::Duration>(leaf.Cost(now, route) *
                                                    (1 + jitter));
}

LeafSelector::LeafSelector(const base::Clock& clock, LeafDirectory& directory,
                           ColdCallLimit& cold, LeafRateLimit& rate,
                           const ServiceShares& shares)
    : clock_(clock),
      directory_(directory),
      cold_(cold),
      rate_(rate),
      shares_(shares) {}

std::shared_ptr<LeafRecord> LeafSelector::Choose(const LeafQuery& query) const {
  const auto permit = PermitFor(query, query.may_be_trial);
  if (!permit)
    return ChooseAmong(query, [](const LeafRecord&) { return true; });
  return ChoosePermitted(query, *permit);
}

std::shared_ptr<LeafRecord> LeafSelector::ChoosePermitted(
    const LeafQuery& query, const VersionPermit& permit) const {
  const base::TimePoint now = clock_.Now();
  const auto choose = [&](VersionUse use, bool healthy_only) {
    return ChooseAmong(query, [&](const LeafRecord& leaf) {
      return permit.UseOf(leaf.entry().version) == use &&
             !(healthy_only &&
               (leaf.IsBackedOff(now) || leaf.HasOverdueCall(now)));
    });
  };
  // While other versions are in use, a leaf of the target is not called if it
  // does not answer: the call would say little about the version.
  const bool has_others = permit.others == VersionUse::kAllowed;
  auto leaf = choose(VersionUse::kPreferred, has_others);
  if (leaf == nullptr) leaf = choose(VersionUse::kAllowed, false);
  if (leaf == nullptr && has_others)
    leaf = choose(VersionUse::kPreferred, false);
  if (leaf == nullptr) leaf = choose(VersionUse::kIfNoOtherCallable, false);
  if (leaf != nullptr || !IsOnlyLastResortListed(query, permit)) return leaf;
  return choose(VersionUse::kIfNoOtherListed, false);
}

bool LeafSelector::IsOnlyLastResortListed(const LeafQuery& query,
                                          const VersionPermit& permit) const {
  bool only = true;
  directory_.ForEachUsable(
      query.service->name, [&](const std::shared_ptr<LeafRecord>& leaf) {
        const VersionUse use = permit.UseOf(leaf->entry().version);
        only = only && (use == VersionUse::kIfNoOtherListed ||
                        use == VersionUse::kNever);
      });
  return only;
}

std::optional<VersionPermit> LeafSelector::PermitFor(const LeafQuery& query,
                                                     bool first_attempt) const {
  if (shifts_ == nullptr) return std::nullopt;
  return shifts_->Permit(query.service->name, first_attempt);
}

template <typename Condition>
std::shared_ptr<LeafRecord> LeafSelector::ChooseAmong(
    const LeafQuery& query, Condition condition) const {
  const base::TimePoint now = clock_.Now();
  const std::size_t connections = ConnectionShare(*query.service);
  std::shared_ptr<LeafRecord> best;
  std::shared_ptr<LeafRecord> trial;
  auto best_cost = base::Duration::max();
  const auto consider = [&](const std::shared_ptr<LeafRecord>& leaf) {
    if (!condition(*leaf)) return;
    if (!AllowsRegionOf(query, *leaf)) return;
    if (Contains(query.tried, leaf->entry().id)) return;
    if (leaf->running() >= connections || !leaf->AcceptsCall(now)) return;
    if (rate_.MayCallAt(*leaf, now) > now) return;
    const bool unhealthy = leaf->IsBackedOff(now) || leaf->HasOverdueCall(now);
    if (unhealthy && !query.allow_unhealthy) return;
    if (leaf->IsCold(now) &&
        !cold_.MayCall(leaf->entry().id, query.service->cold_rate))
      return;
    base::Duration cost = JitteredCost(*leaf, query.seed, now, query.route);
    const bool doubtful = query.avoid_doubtful && leaf->IsDoubtful(now);
    if (leaf->IsBackedOff(now) || doubtful) cost += kAvoidedLeafPenalty;
    if (query.may_be_trial && !doubtful && !leaf->IsCold(now) &&
        leaf->IsTrialDue(now))
      trial = leaf;
    if (cost >= best_cost) return;
    best_cost = cost;
    best = leaf;
  };
  directory_.ForEachUsable(query.service->name, consider);
  if (trial != nullptr && trial->distance() <= best->distance()) return trial;
  return best;
}

void LeafSelector::OnSent(LeafRecord& leaf, base::TimePoint now,
                          LatencyModel::RouteEstimate route) const {
  leaf.OnCallSent(now, std::move(route));
  if (leaf.IsCold(now)) cold_.OnCall(leaf.entry().id);
  if (leaf.rate_limit()) rate_.OnCall(leaf, now);
  if (shifts_ != nullptr) shifts_->OnSent(leaf);
}

bool LeafSelector::HasUnpausedLeaf(const LeafQuery& query) const {
  const base::TimePoint now = clock_.Now();
  return AnyLeaf(query, [this, now](const LeafRecord& leaf) {
    return StatedPauseLeft(leaf, now) == base::Duration::zero();
  });
}

bool LeafSelector::HasResponsiveLeaf(const LeafQuery& query) const {
  const base::TimePoint now = clock_.Now();
  return AnyLeaf(query, [this, now](const LeafRecord& leaf) {
    return StatedPauseLeft(leaf, now) == base::Duration::zero() &&
           !leaf.IsUnresponsive(now);
  });
}

base::Duration LeafSelector::PauseLeft(const LeafQuery& query) const {
  const base::TimePoint now = clock_.Now();
  auto left = base::Duration::max();
  AnyLeaf(query, [this, &left, now](const LeafRecord& leaf) {
    left = std::min(left, StatedPauseLeft(leaf, now));
    return false;
  });
  return left;
}

base::Duration LeafSelector::StatedPauseLeft(const LeafRecord& leaf,
                                             base::TimePoint now) const {
  const base::Duration paused =
      std::max(base::Duration::zero(), leaf.paused_until() - now);
  const base::Duration limited = rate_.MayCallAt(leaf, now) - now;
  if (limited <= kShortWait) return paused;
  return std::max(paused, limited);
}

template <typename Condition>
bool LeafSelector::AnyLeaf(const LeafQuery& query, Condition condition) const {
  const auto permit = PermitFor(query, false);
  const bool last_resort = permit && IsOnlyLastResortListed(query, *permit);
  bool any = false;
  directory_.ForEachUsable(
      query.service->name, [&](const std::shared_ptr<LeafRecord>& leaf) {
        any = any ||
              ((!permit || MayUse(*permit, *leaf, last_resort)) &&
               AllowsRegionOf(query, *leaf) &&
               !Contains(query.tried, leaf->entry().id) && condition(*leaf));
      });
  return any;
}

bool LeafSelector::HasAtMostLeaves(const Service& service,
                                   std::size_t count) const {
  return directory_.CountOf(service.name) <= count;
}

bool LeafSelector::HasScarceConnections(const Service& service) const {
  return service.max_connections / shares_.hosts() < kMinUsefulConnections;
}

std::size_t LeafSelector::ConnectionShare(const Service& service) const {
  const double share = kUsedConnectionShare *
                       shares_.ShareOf(service.name, kConnectionShares) *
                       static_cast<double>(service.max_connections);
  return std::max<std::size_t>(1, static_cast<std::size_t>(share));
}

}  // namespace berylreach::forward
