// Divides the rate limit of a cold leaf among hosts.
#include "berylreach/forward/cold_call_limit.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

#include "berylreach/base/rendezvous.h"

namespace berylreach::forward {
namespace {

using std::chrono::milliseconds;

/// Fraction of the limit that is used. The rest prevents calls that are delayed
/// on the way from exceeding the limit together with later ones.
constexpr double kUsableShare = 0.8;

/// Time between two calls of a host that may send one call per second. It is
/// longer than a second, so that two calls of a host never fall into one
/// second.
constexpr milliseconds kSlowestSpacing{1200};

}  // namespace

ColdCallLimit::ColdCallLimit(const base::Clock& clock, ColdCallLimits limits)
    : clock_(clock), limits_(limits) {}

void ColdCallLimit::SetHosts(std::string self, std::vector<std::string> hosts) {
  self_ = std::move(self);
  hosts_ = std::move(hosts);
}

base::Duration ColdCallLimit::Spacing(const std::string& leaf,
                                      double rate) const {
  const double max_calls =
      kUsableShare * (rate * limits_.overage + limits_.slack);
  const double share =
      std::floor(max_calls / static_cast<double>(hosts_.size()));
  if (share >= 1) {
    return std::chrono::duration_cast<base::Duration>(
        std::chrono::duration<double>(1.0 / share));
  }
  // There are fewer calls than hosts: the hosts with the highest rendezvous
  // weights get one call per second each.
  const std::uint64_t own_weight = base::RendezvousWeight(leaf, self_);
  const auto preferred_hosts =
      std::count_if(hosts_.begin(), hosts_.end(),
                    [&leaf, own_weight](const std::string& host) {
                      return base::RendezvousWeight(leaf, host) > own_weight;
                    });
  if (static_cast<double>(preferred_hosts + 1) > max_calls)
    return base::Duration::max();
  return kSlowestSpacing;
}

bool ColdCallLimit::MayCall(const std::string& leaf, double rate) const {
  if (hosts_.empty()) return false;
  const base::Duration spacing = Spacing(leaf, rate);
  if (spacing == base::Duration::max()) return false;
  const auto found = last_call_.find(leaf);
  return found == last_call_.end() || clock_.Now() - found->second >= spacing;
}

void ColdCallLimit::OnCall(const std::string& leaf) {
  last_call_[leaf] = clock_.Now();
}

void ColdCallLimit::Tick() {
  const base::TimePoint oldest = clock_.Now() - 2 * kSlowestSpacing;
  std::erase_if(last_call_,
                [oldest](const auto& entry) { return entry.second < oldest; });
}

}  // namespace berylreach::forward
