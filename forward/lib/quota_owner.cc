// Buckets of the shares that a host owns, and the change of owners.
#include "berylreach/forward/quota_owner.h"

#include <algorithm>
#include <cmath>

#include "berylreach/base/seconds.h"

namespace berylreach::forward {
namespace {

using base::InSeconds;
using base::Seconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Time after a new registration before the confirmation of another host
/// counts: the list of hosts is current by then.
constexpr seconds kViewDelay{4};
/// Time for which a host does not act as owner after it has confirmed that
/// another one is, although its own list may not show that yet.
constexpr seconds kReleasedTime{5};

/// Interval at which the owners of the other regions are asked while they give
/// tokens, and while they give less than kUsefulPart of what they are asked
/// for.
constexpr milliseconds kBorrowInterval{30};
constexpr milliseconds kVainBorrowInterval{200};
constexpr double kUsefulPart = 0.1;
/// Most shares that are begun at once without a claim.
constexpr std::size_t kMaxPrepared = 128;
/// Interval at which shares are begun without a claim, as the list of hosts
/// grows after a common start.
constexpr seconds kPrepareInterval{4};

/// Time within which owners of other regions answer.
constexpr milliseconds kBorrowTime{55};
/// Time for which owners that have given nothing are expected to give nothing.
constexpr milliseconds kBorrowMemory{500};
/// Time of the recent demand of its region for which an owner keeps tokens.
constexpr double kReservedSeconds = 0.15;

/// Period over which the demand of a region is averaged.
constexpr double kDemandSeconds = 1;
/// Refused claimants are told to return at this multiple of the limit's rate,
/// since some of them do not.
constexpr double kReturnsPerToken = 4;
constexpr milliseconds kMaxReturn{1000};
constexpr milliseconds kMinReturn{5};

/// Time without claims after which a full share is forgotten.
constexpr seconds kIdleTime{60};

/// Sums of fractions of a token count as whole from this far below.
constexpr double kRounding = 1e-9;

}  // namespace

QuotaOwner::QuotaOwner(const base::Clock& clock, LimitOwners& owners,
                       QuotaBounds bounds)
    : clock_(clock),
      owners_(owners),
      bounds_(bounds),
      began_at_(clock.Now()),
      confirm_from_(clock.Now()),
      fill_from_(clock.Now()) {}

void QuotaOwner::SetLimits(const std::vector<LimitSpec>& limits) {
  // What has accrued so far did so at the former rates.
  for (auto& [key, share] : shares_) {
    const auto limit = limits_.find(key.first);
    if (limit != limits_.end()) Accrue(share, limit->second);
  }
  limits_.clear();
  const std::size_t regions = owners_.regions().size();
  for (const LimitSpec& spec : limits)
    if (spec.rate > 0)
      limits_[spec.name] = {spec, PlanLimit(spec, bounds_, regions)};
  std::erase_if(shares_, [this](const auto& entry) {
    return !limits_.contains(entry.first.first);
  });
  for (auto& [key, share] : shares_) {
    share.tokens = std::min(share.tokens, limits_.at(key.first).plan.capacity);
    share.next_return = {};
  }
}

void QuotaOwner::OnLeaseRenewed(const LeaseRenewed& event) {
  const base::TimePoint now = clock_.Now();
  if (registration_lost_ && !event.is_new) return;
  registration_lost_ = false;
  if (event.is_new && lease_sent_) {
    shares_.clear();
    began_at_ = now;
    confirm_from_ = now + kViewDelay;
    fill_from_ = now;
  } else {
    AccrueAll();
  }
  lease_sent_ = std::max(lease_sent_.value_or(event.sent), event.sent);
}

void QuotaOwner::OnRegistrationLost() {
  AccrueAll();
  registration_lost_ = true;
}

void QuotaOwner::OnProcessPaused() { view_current_ = false; }

void QuotaOwner::OnViewCurrent() {
  if (view_current_) return;
  view_current_ = true;
  // Another host may have owned the shares for a part of the pause.
  fill_from_ = clock_.Now();
  for (auto& [key, share] : shares_) {
    share.tokens = 0;
    share.accrued_at = fill_from_;
    share.borrowed = 0;
  }
}

bool QuotaOwner::MayGrant() const { return view_current_ && !stopped_; }

void QuotaOwner::PrepareShares() {
  // Later, a new share is granted in full without confirmation.
  const base::TimePoint now = clock_.Now();
  if (!MayGrant() || limits_.empty() || now >= began_at_ + kLeaseTime ||
      now < prepared_at_ + kPrepareInterval)
    return;
  prepared_at_ = now;
  const std::string& region = owners_.regions().front();
  std::size_t begun = 0;
  for (const auto& [name, limit] : limits_) {
    if (begun == kMaxPrepared) return;
    if (shares_.contains({name, region})) continue;
    if (FindShare({name, region}, limit) != nullptr) ++begun;
  }
}

void QuotaOwner::AccrueAll() {
  for (auto& [key, share] : shares_) Accrue(share, limits_.at(key.first));
}

Grant QuotaOwner::OnClaim(const std::string& from, const Claim& claim,
                          Actions& actions) {
  ++counters_.claims;
  Grant grant{.limit = claim.limit};
  if (claim.kind == ClaimKind::kWitness) {
    if (!LeaseIsValid()) grant.status = GrantStatus::kGranted;
    return grant;
  }
  const Key key(claim.limit, claim.region);
  const auto found = limits_.find(claim.limit);
  if (claim.kind == ClaimKind::kRelease && from != owners_.self()) {
    const auto share = shares_.find(key);
    if (share != shares_.end() && clock_.Now() < share->second.not_before) {
      // The former owner may still grant, and the new one may not know it.
      grant.status = GrantStatus::kEmpty;
      return grant;
    }
    return Release(from, key);
  }
  Share* share = found == limits_.end() || !MayGrant()
                     ? nullptr
                     : FindShare(key, found->second);
  if (share == nullptr) {
    ++counters_.not_owner;
    return grant;
  }
  const Limit& limit = found->second;
  Accrue(*share, limit);
  AskToConfirm(key, *share, actions);
  if (claim.kind == ClaimKind::kForOwner)
    return GrantToOwner(*share, limit, claim);
  return GrantToHost(*share, limit, claim, actions);
}

QuotaOwner::Share* QuotaOwner::FindShare(const Key& key, const Limit& limit) {
  if (owners_.OwnerOf(key.first, key.second) != owners_.self()) {
    shares_.erase(key);
    return nullptr;
  }
  const auto released = released_.find(key);
  if (released != released_.end() &&
      clock_.Now() < released->second + kReleasedTime)
    return nullptr;
  const auto found = shares_.find(key);
  if (found != shares_.end()) return &found->second;
  return &shares_.emplace(key, NewShare(key, limit)).first->second;
}

void QuotaOwner::Accrue(Share& share, const Limit& limit) const {
  const base::TimePoint now = clock_.Now();
  base::TimePoint at = share.accrued_at;
  const base::TimePoint rights_end = RightsEnd();
  const auto add = [&](base::TimePoint until, double rate, double capacity) {
    until = std::min(until, now);
    if (until <= at) return;
    const double gained = rate * InSeconds(until - at);
    share.tokens = std::min(capacity, share.tokens + gained);
    at = until;
  };
  const LimitPlan& plan = limit.plan;
  add(std::min(share.full_from, rights_end), plan.unconfirmed_rate,
      std::max(plan.unconfirmed_capacity, plan.start_tokens));
  add(rights_end, plan.region_rate, plan.capacity);
  // A bucket that was full is reduced too, since the new owner has its own.
  add(now, plan.unregistered_rate, plan.unregistered_capacity);
  share.accrued_at = std::max(share.accrued_at, now);
}

double QuotaOwner::Take(Share& share, double wanted) {
  const double available = share.tokens + share.borrowed;
  const double taken =
      std::floor(std::clamp(wanted, 0.0, available + kRounding) + kRounding);
  const double from_borrowed = std::min(share.borrowed, taken);
  share.borrowed -= from_borrowed;
  share.tokens = std::max(0.0, share.tokens - (taken - from_borrowed));
  return taken;
}

Grant QuotaOwner::GrantToHost(Share& share, const Limit& limit,
                              const Claim& claim, Actions& actions) {
  const base::TimePoint now = clock_.Now();
  share.claimed_at = now;
  const double taken = Take(share, claim.tokens);
  const double decay =
      std::exp(-InSeconds(now - share.recent_at) / kDemandSeconds);
  share.recent_rate = share.recent_rate * decay + taken / kDemandSeconds;
  share.recent_at = now;
  Grant grant{.limit = claim.limit, .tokens = taken};
  grant.status = taken > 0 ? GrantStatus::kGranted : GrantStatus::kEmpty;
  ++(taken > 0 ? counters_.granted : counters_.empty);
  const double lacking = claim.tokens - taken;
  if (lacking < 1) return grant;
  share.unmet += lacking;
  AskOtherOwners({claim.limit, claim.region}, share, limit, actions);
  grant.retry_after = AssignReturn(share, limit, lacking);
  return grant;
}

Grant QuotaOwner::GrantToOwner(Share& share, const Limit& limit,
                               const Claim& claim) {
  const base::TimePoint now = clock_.Now();
  share.claimed_at = now;
  const double decay =
      std::exp(-InSeconds(now - share.recent_at) / kDemandSeconds);
  const double reserved = std::min(
      limit.plan.capacity / 2, share.recent_rate * decay * kReservedSeconds);
  const double given =
      std::clamp(claim.tokens, 0.0, std::max(0.0, share.tokens - reserved));
  share.tokens -= given;
  return {.limit = claim.limit,
          .status = given > 0 ? GrantStatus::kGranted : GrantStatus::kEmpty,
          .tokens = given};
}

void QuotaOwner::AskOtherOwners(const Key& key, Share& share,
                                const Limit& limit, Actions& actions) {
  const base::TimePoint now = clock_.Now();
  const bool in_vain = now >= share.borrow_gave_at + kVainBorrowInterval;
  if (now <
      share.borrow_asked_at + (in_vain ? kVainBorrowInterval : kBorrowInterval))
    return;
  const bool rarely_short = now >= share.borrow_asked_at + kBorrowMemory;
  share.borrow_asked_at = now;
  // Tokens got before have been used, so more are asked for each time.
  if (rarely_short) share.last_asked = 0;
  share.last_asked = std::min(limit.plan.capacity,
                              std::max(share.unmet, 2 * share.last_asked));
  share.unmet = 0;
  std::vector<std::pair<std::string, std::string>> others;
  for (const std::string& region : owners_.regions()) {
    const std::string& owner = owners_.OwnerOf(key.first, region);
    if (region != key.second && !owner.empty())
      others.emplace_back(owner, region);
  }
  // All that is lacking is asked of each owner only if the share is rarely
  // short; otherwise tokens would often not fit into the bucket.
  const double each =
      rarely_short || others.empty()
          ? share.last_asked
          : share.last_asked / static_cast<double>(others.size());
  for (const auto& [owner, region] : others)
    actions.push_back({owner,
                       {.limit = key.first,
                        .region = region,
                        .kind = ClaimKind::kForOwner,
                        .tokens = each,
                        .for_region = key.second,
                        .sent = now}});
}

milliseconds QuotaOwner::AssignReturn(Share& share, const Limit& limit,
                                      double wanted) const {
  const base::TimePoint now = clock_.Now();
  base::Duration until_token =
      Seconds(std::max(0.0, 1 - share.tokens - share.borrowed) /
              limit.plan.region_rate);
  const bool others_give = owners_.regions().size() > 1 &&
                           (now < share.borrow_gave_at + kBorrowMemory ||
                            share.borrow_asked_at == now);
  if (others_give)
    until_token = std::min<base::Duration>(until_token, kBorrowTime);
  const base::TimePoint latest = now + kMaxReturn;
  // The claim for which others were asked is served when they have answered.
  if (share.borrow_asked_at == now && others_give)
    return std::chrono::ceil<milliseconds>(until_token);
  const base::TimePoint at =
      std::min(latest, std::max(share.next_return, now + until_token));
  share.next_return = at + Seconds(std::max(1.0, wanted) /
                                   (kReturnsPerToken * limit.spec.rate));
  return std::max(kMinReturn, std::chrono::ceil<milliseconds>(at - now));
}

void QuotaOwner::OnGrant(const std::string& from, const Claim& claim,
                         base::TimePoint sent, const Grant& grant,
                         Actions& actions) {
  const base::TimePoint now = clock_.Now();
  if (claim.kind == ClaimKind::kWitness) {
    if (grant.status == GrantStatus::kGranted) OnWitness(from, sent);
    return;
  }
  const bool is_release = claim.kind == ClaimKind::kRelease;
  const auto found =
      shares_.find({claim.limit, is_release ? claim.region : claim.for_region});
  const auto limit = limits_.find(claim.limit);
  if (found == shares_.end() || limit == limits_.end()) return;
  Share& share = found->second;
  Accrue(share, limit->second);
  if (is_release) {
    const bool newcomer = grant.status == GrantStatus::kReleasedByNewcomer;
    if ((newcomer || grant.status == GrantStatus::kGranted) &&
        sent >= confirm_from_) {
      share.confirmed[from] = newcomer;
      AskToConfirm({claim.limit, claim.region}, share, actions);
    }
    return;
  }
  if (grant.status != GrantStatus::kGranted) return;
  // PlanLimit counts on tokens being on their way for at most this time.
  if (now - sent > LimitPlan::kMaxTransit || grant.tokens <= 0) return;
  if (grant.tokens >= kUsefulPart * claim.tokens) share.borrow_gave_at = now;
  const double room = std::max(
      0.0, limit->second.plan.capacity - share.tokens - share.borrowed);
  share.borrowed += std::min({grant.tokens, claim.tokens, room});
}

void QuotaOwner::Tick(Actions& actions) {
  const base::TimePoint now = clock_.Now();
  PrepareShares();
  // Shares that were begun by a shorter list of hosts would ask for ever.
  std::erase_if(shares_, [this](const auto& entry) {
    return owners_.OwnerOf(entry.first.first, entry.first.second) !=
           owners_.self();
  });
  for (auto& [key, share] : shares_) AskToConfirm(key, share, actions);
  AskForWitnesses(actions);
  std::erase_if(shares_, [&](const auto& entry) {
    const LimitPlan& plan = limits_.at(entry.first.first).plan;
    const auto idle = std::max<base::Duration>(
        kIdleTime, Seconds(std::min(1e6, plan.capacity / plan.region_rate)));
    return now - entry.second.claimed_at > idle;
  });
  std::erase_if(released_, [&](const auto& entry) {
    return now - entry.second > kLeaseTime;
  });
}

}  // namespace berylreach::forward
