// The change of a share's owner: when a new owner may grant in full, and how
// long a former one may.
#include <algorithm>
#include <utility>

#include "berylreach/forward/quota_owner.h"

namespace berylreach::forward {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Time after the removal of the former owner before its successor grants in
/// full. A store that comes back from a copy lists a running owner again within
/// this time.
constexpr seconds kTakeOverDelay{3};
/// Interval at which a host that has not confirmed is asked again, and the most
/// hosts that are asked. If more than that are newcomers, as after a loss of
/// power in a large fleet, the owner waits for kLeaseTime.
constexpr milliseconds kConfirmInterval{250};
constexpr std::size_t kMaxAsked = 100;
/// Interval at which a host without a valid lease asks the others of its region
/// whether theirs are valid, and the time for which their answers count. A host
/// that gets a lease takes over no earlier than kTakeOverDelay later.
constexpr milliseconds kWitnessInterval{500};
constexpr seconds kWitnessTime{2};

}  // namespace

base::TimePoint QuotaOwner::RightsEnd() const {
  if (!lease_sent_ || registration_lost_) return {};
  return std::max(*lease_sent_ + kLeaseValid, witnessed_until_);
}

void QuotaOwner::AskForWitnesses(Actions& actions) {
  const base::TimePoint now = clock_.Now();
  if (!lease_sent_ || LeaseIsValid() || shares_.empty() || !MayGrant() ||
      now < witnesses_asked_at_ + kWitnessInterval)
    return;
  witnesses_asked_at_ = now;
  const std::string& region = owners_.regions().front();
  std::vector<std::string> others = owners_.RankedOthers("", region, kMaxAsked);
  // Hosts that are not asked may have valid leases.
  if (others.size() == kMaxAsked) return;
  for (std::string& other : others)
    actions.push_back({std::move(other),
                       {.limit = {},
                        .region = region,
                        .kind = ClaimKind::kWitness,
                        .tokens = 0,
                        .for_region = {},
                        .sent = now}});
}

void QuotaOwner::OnWitness(const std::string& from, base::TimePoint sent) {
  base::TimePoint& known = witnesses_[from];
  known = std::max(known, sent);
  base::TimePoint oldest = sent;
  for (const std::string& other :
       owners_.RankedOthers("", owners_.regions().front(), kMaxAsked)) {
    const auto witness = witnesses_.find(other);
    if (witness == witnesses_.end()) return;
    oldest = std::min(oldest, witness->second);
  }
  AccrueAll();
  witnessed_until_ = std::max(witnessed_until_, oldest + kWitnessTime);
}

QuotaOwner::Share QuotaOwner::NewShare(const Key& key,
                                       const Limit& limit) const {
  const base::TimePoint now = clock_.Now();
  Share share;
  const base::TimePoint left =
      owners_.LastPredecessorLeft(key.first, key.second);
  base::TimePoint began = began_at_;
  const auto released = released_.find(key);
  if (released != released_.end()) began = std::max(began, released->second);
  // No time point of the clock lies before its epoch.
  if (left != base::TimePoint{}) share.not_before = left + kTakeOverDelay;
  // The host to which the share was released may own it although this host's
  // list does not have it, so other hosts cannot confirm.
  if (released != released_.end())
    share.not_before =
        std::max(share.not_before, released->second + kLeaseTime);
  share.full_from = std::max(share.not_before, began + kLeaseTime);
  share.accrued_at = std::max({began, left, fill_from_});
  share.claimed_at = now;
  share.tokens = limit.plan.start_tokens;
  return share;
}

Grant QuotaOwner::Release(const std::string& from, const Key& key) {
  shares_.erase(key);
  released_[key] = clock_.Now();
  Grant grant{.limit = key.first};
  // One of the lists is old: the host that this host's list has as the owner
  // may grant.
  if (owners_.OwnerOf(key.first, key.second) != from) {
    grant.status = GrantStatus::kEmpty;
    return grant;
  }
  grant.status =
      IsNewcomer() ? GrantStatus::kReleasedByNewcomer : GrantStatus::kGranted;
  return grant;
}

void QuotaOwner::AskToConfirm(const Key& key, Share& share,
                              Actions& actions) const {
  const base::TimePoint now = clock_.Now();
  if (now >= share.full_from || share.full_from == share.not_before) return;
  if (now < confirm_from_) return;
  const std::vector<std::string> others =
      owners_.RankedOthers(key.first, key.second, kMaxAsked);
  // A host that knows of no other may have an old list.
  if (others.empty()) return;
  std::size_t to_ask = 1 + 2 * share.confirmed.size();
  bool all_confirmed = true;
  bool complete = others.size() < kMaxAsked;
  for (const std::string& other : others) {
    const auto confirmed = share.confirmed.find(other);
    if (confirmed != share.confirmed.end()) {
      if (confirmed->second) continue;
      // The first host in rank that is no newcomer.
      complete = all_confirmed;
      break;
    }
    all_confirmed = false;
    complete = false;
    if (to_ask-- == 0) break;
    base::TimePoint& asked_at = share.asked_at[other];
    if (now < asked_at + kConfirmInterval) continue;
    asked_at = now;
    actions.push_back({other,
                       {.limit = key.first,
                        .region = key.second,
                        .kind = ClaimKind::kRelease,
                        .tokens = 0,
                        .for_region = {},
                        .sent = now}});
  }
  if (complete) share.full_from = std::max(share.not_before, now);
}

}  // namespace berylreach::forward
