// Divides the rate limit of a leaf among hosts.
#include "berylreach/forward/leaf_rate_limit.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <limits>

#include "berylreach/base/rendezvous.h"
#include "berylreach/base/seconds.h"

namespace berylreach::forward {
namespace {

using base::Seconds;
/// Sum of the bucket sizes of all hosts: seconds of the limit, and calls. A
/// leaf may get that many calls at once beyond its limit.
constexpr double kBurstSeconds = 1;
constexpr double kBurstCalls = 4;

/// Weight of a host of another region in the division of a leaf's limit; that
/// of a host of the leaf's region is 1.
constexpr double kRemoteWeight = 0.25;

/// How the limits of divided services are shared among the roles of hosts.
constexpr RoleShares kRateShares{
    .owners = 0.7, .coordinators = 0.2, .new_coordinators = 0.1, .hosts = 0.1};

/// Fraction of a limit that the trial calls of all hosts without an allowance
/// use together.
constexpr double kTrialShare = 0.1;
/// Limits below this one are raised to it, so that trials remain possible.
constexpr double kMinRate = 0.1;
constexpr std::chrono::seconds kMinTrialInterval{10};
/// Time in which a host may make its trial call.
constexpr std::chrono::seconds kTrialSlot{1};

/// Number of leaves whose shares are kept; they are computed again when needed.
constexpr std::size_t kMaxPositions = 4096;

/// Time without calls after which a bucket is full.
constexpr std::chrono::minutes kBucketLifetime{5};

double Burst(double rate) { return kBurstSeconds * rate + kBurstCalls; }

double RateOf(const LeafRecord& leaf) {
  return std::max(kMinRate, leaf.rate_limit().value_or(0));
}

}  // namespace

void LeafRateLimit::SetHosts(const std::string& self, const Location& location,
                             const std::vector<HostEntry>& hosts) {
  self_ = self;
  region_ = location.region;
  hosts_.clear();
  for (const HostEntry& host : hosts)
    hosts_.push_back({host.name, location.RegionOf(host.zone)});
  positions_.clear();
}

base::TimePoint LeafRateLimit::MayCallAt(const LeafRecord& leaf,
                                         base::TimePoint now) {
  if (!leaf.rate_limit()) return now;
  const Allowance allowance = AllowanceFor(leaf);
  if (allowance.capacity < 1) return NextTrialAt(leaf, now);
  const double missing = 1 - TokensLeft(leaf, allowance, now);
  return missing <= 0 ? now : now + Seconds(missing / allowance.rate);
}

void LeafRateLimit::OnCall(const LeafRecord& leaf, base::TimePoint now) {
  const double left = TokensLeft(leaf, AllowanceFor(leaf), now);
  buckets_[leaf.entry().id] = {left - 1, now};
}

void LeafRateLimit::Tick(base::TimePoint now) {
  const base::TimePoint oldest = now - kBucketLifetime;
  std::erase_if(buckets_, [oldest](const auto& bucket) {
    return bucket.second.last_call < oldest;
  });
  if (positions_.size() > kMaxPositions) positions_.clear();
}

LeafRateLimit::Allowance LeafRateLimit::AllowanceFor(const LeafRecord& leaf) {
  const double rate = RateOf(leaf);
  if (shares_.IsDivided(leaf.entry().service)) {
    const double share = shares_.ShareOf(leaf.entry().service, kRateShares);
    return {share * Burst(rate), share * rate};
  }
  const Position& position = PositionFor(leaf);
  const double group_burst = position.group_share * Burst(rate);
  const double group_rate = position.group_share * rate;
  const auto size = static_cast<double>(position.group_size);
  if (size == 0) return {};
  if (group_burst >= size) return {group_burst / size, group_rate / size};
  // There are fewer calls than hosts: the first hosts get one each.
  const double selected = std::floor(group_burst);
  if (static_cast<double>(position.rank) >= selected) return {};
  return {1, group_rate / selected};
}

const LeafRateLimit::Position& LeafRateLimit::PositionFor(
    const LeafRecord& leaf) {
  const std::string& id = leaf.entry().id;
  const auto found = positions_.find(id);
  if (found != positions_.end()) return found->second;
  const bool is_local = region_ == leaf.region();
  const std::uint64_t own_weight = base::RendezvousWeight(id, self_);
  std::size_t local_hosts = 0;
  Position position;
  for (const Host& host : hosts_) {
    const bool host_is_local = host.region == leaf.region();
    if (host_is_local) ++local_hosts;
    if (host_is_local != is_local) continue;
    ++position.group_size;
    if (base::RendezvousWeight(id, host.name) > own_weight) ++position.rank;
  }
  const double local_weight = static_cast<double>(local_hosts);
  const double remote_weight =
      kRemoteWeight * static_cast<double>(hosts_.size() - local_hosts);
  const double weight = is_local ? local_weight : remote_weight;
  if (weight > 0)
    position.group_share = weight / (local_weight + remote_weight);
  return positions_.emplace(id, position).first->second;
}

double LeafRateLimit::TokensLeft(const LeafRecord& leaf,
                                 const Allowance& allowance,
                                 base::TimePoint now) const {
  const auto found = buckets_.find(leaf.entry().id);
  if (found == buckets_.end()) return allowance.capacity;
  const std::chrono::duration<double> elapsed = now - found->second.last_call;
  return std::min(allowance.capacity,
                  found->second.tokens + allowance.rate * elapsed.count());
}

base::TimePoint LeafRateLimit::NextTrialAt(const LeafRecord& leaf,
                                           base::TimePoint now) const {
  const base::Duration interval = std::max<base::Duration>(
      kMinTrialInterval, Seconds(static_cast<double>(hosts_.size()) /
                                 (kTrialShare * RateOf(leaf))));
  // Hosts that were idle for a long time must not try together, so each one may
  // do so in a slot of its own only.
  const double spread =
      static_cast<double>(base::RendezvousWeight(leaf.entry().id, self_)) /
      static_cast<double>(std::numeric_limits<std::uint64_t>::max());
  const base::Duration phase =
      std::chrono::duration_cast<base::Duration>(interval * spread);
  const base::Duration position = (now.time_since_epoch() + phase) % interval;
  const auto bucket = buckets_.find(leaf.entry().id);
  const bool tried =
      bucket != buckets_.end() && bucket->second.last_call >= now - position;
  return position < kTrialSlot && !tried ? now : now + (interval - position);
}

}  // namespace berylreach::forward
