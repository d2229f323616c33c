// Requests that wait for tokens, and the claims for them.
#include "berylreach/forward/quota_client.h"

#include <algorithm>
#include <cmath>

#include "berylreach/base/seconds.h"

namespace berylreach::forward {
namespace {

using base::InSeconds;
using base::Seconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Time without an answer after which another owner is asked. It leaves time
/// for the round trip to another region within kMaxWait.
constexpr milliseconds kClaimTimeout{45};
/// Time for which a host that has not answered, and one that does not own the
/// share, is not asked again.
constexpr milliseconds kLostTime{1000};
constexpr milliseconds kNotOwnerTime{200};

/// Time within which an owner of the region answers. Requests that may not wait
/// for that long would leave their tokens unused.
constexpr milliseconds kReplyTime{10};

/// Period over which the demand of this host is averaged.
constexpr double kDemandSeconds = 0.25;
/// Tokens are claimed in advance for this part of their lifetime, at most for
/// kMaxAdvance, and only if at least kMinExpected requests came recently and
/// are expected in a lifetime. More or rarer claims in advance would let tokens
/// expire that other hosts need.
constexpr double kAdvancePart = 0.25;
constexpr double kMaxAdvance = 0.25;
constexpr double kMinExpected = 3;

/// Retry-After of a request for which no owner can be asked.
constexpr milliseconds kNoOwnerRetryAfter{1000};

/// Name under which a host's answer that it does not own a share is remembered.
std::string ShareOf(const std::string& host, const std::string& limit,
                    const std::string& region) {
  return host + '\n' + region + '\n' + limit;
}

}  // namespace

QuotaClient::QuotaClient(const base::Clock& clock, LimitOwners& owners,
                         QuotaBounds bounds)
    : clock_(clock), owners_(owners), bounds_(bounds), began_at_(clock.Now()) {}

void QuotaClient::SetLimits(const std::vector<LimitSpec>& limits,
                            Actions& actions) {
  std::unordered_map<std::string, Limit> former;
  former.swap(limits_);
  for (const LimitSpec& spec : limits) {
    if (spec.rate <= 0) continue;
    Limit& limit = limits_[spec.name];
    const auto found = former.find(spec.name);
    if (found != former.end()) {
      limit = std::move(found->second);
      former.erase(found);
    } else {
      limit.allowance_at = clock_.Now();
    }
    if (limit.spec == spec) continue;
    limit.spec = spec;
    limit.plan = PlanLimit(spec, bounds_, owners_.regions().size());
    limit.refuse_until = {};
    limit.next_return = {};
  }
  for (auto& [name, limit] : former) {
    active_.erase(name);
    while (!limit.waiting.empty())
      actions.push_back(AdmitRequest{PopWaiting(limit)});
  }
}

void QuotaClient::OnHostsChanged() {
  for (auto& [name, limit] : limits_) limit.rank.reset();
  std::erase_if(failed_, [](const auto& entry) {
    return entry.first.find('\n') != std::string::npos;
  });
}

void QuotaClient::OnRequest(std::uint64_t request, const std::string& name,
                            Actions& actions) {
  const auto found = limits_.find(name);
  if (found == limits_.end()) {
    actions.push_back(AdmitRequest{request});
    return;
  }
  Limit& limit = found->second;
  const base::TimePoint now = clock_.Now();
  CountDemand(limit);
  if (TakeHeld(limit, now)) {
    actions.push_back(AdmitRequest{request});
    const double expected = Expected(limit);
    if (!limit.pending && now >= limit.refuse_until && expected > 0 &&
        HeldTokens(limit, now) < expected / 2)
      SendClaimFor(name, limit, actions);
  } else if (now < limit.refuse_until || !MayWait(limit)) {
    actions.push_back(OverLimit(limit, request));
  } else {
    limit.waiting.push_back({request, now + kMaxWait});
    limit_of_request_[request] = name;
    if (!limit.pending && !limit.claim_at) SendClaimFor(name, limit, actions);
  }
  UpdateActive(name, limit);
}

void QuotaClient::OnCancelled(std::uint64_t request) {
  const auto found = limit_of_request_.find(request);
  if (found == limit_of_request_.end()) return;
  const std::string name = found->second;
  limit_of_request_.erase(found);
  const auto limit = limits_.find(name);
  if (limit == limits_.end()) return;
  std::erase_if(limit->second.waiting, [request](const Waiting& waiting) {
    return waiting.request == request;
  });
  UpdateActive(name, limit->second);
}

void QuotaClient::OnGrant(const std::string& host, const Claim& claim,
                          base::TimePoint sent, const Grant& grant,
                          Actions& actions) {
  const auto found = limits_.find(claim.limit);
  if (found == limits_.end()) return;
  Limit& limit = found->second;
  const base::TimePoint now = clock_.Now();
  const bool is_pending = limit.pending && limit.pending->host == host &&
                          limit.pending->sent == sent;
  if (is_pending) limit.pending.reset();
  failed_.erase(host);
  if (grant.status == GrantStatus::kNotOwner) {
    failed_[ShareOf(host, claim.limit, claim.region)] = now + kNotOwnerTime;
    if (is_pending) OnOwnerFailed(claim.limit, limit, actions);
    UpdateActive(claim.limit, limit);
    return;
  }
  const base::TimePoint expires = sent + limit.plan.token_life;
  const double tokens = std::min(grant.tokens, claim.tokens);
  if (tokens > 0 && expires > now) limit.held.push_back({tokens, expires});
  AdmitWaiting(limit, actions);
  if (is_pending) {
    if (grant.retry_after.count() > 0) {
      OnEmpty(limit, grant.retry_after, actions);
    } else if (!limit.waiting.empty()) {
      SendClaimFor(claim.limit, limit, actions);
    }
  }
  UpdateActive(claim.limit, limit);
}

void QuotaClient::OnClaimLost(const std::string& host, const Claim& claim,
                              base::TimePoint sent, Actions& actions) {
  failed_[host] = clock_.Now() + kLostTime;
  const auto found = limits_.find(claim.limit);
  if (found == limits_.end()) return;
  Limit& limit = found->second;
  if (!limit.pending || limit.pending->host != host ||
      limit.pending->sent != sent)
    return;
  limit.pending.reset();
  OnOwnerFailed(claim.limit, limit, actions);
  UpdateActive(claim.limit, limit);
}

void QuotaClient::Tick(Actions& actions) {
  const base::TimePoint now = clock_.Now();
  std::erase_if(failed_,
                [now](const auto& entry) { return entry.second <= now; });
  const std::vector<std::string> active(active_.begin(), active_.end());
  for (const std::string& name : active) {
    const auto found = limits_.find(name);
    if (found == limits_.end()) continue;
    Limit& limit = found->second;
    if (limit.pending && now >= limit.pending->lost_at) {
      failed_[limit.pending->host] = now + kLostTime;
      limit.pending.reset();
      OnOwnerFailed(name, limit, actions);
    }
    while (!limit.waiting.empty() && limit.waiting.front().until <= now) {
      const bool unanswered = limit.pending.has_value();
      const std::uint64_t request = PopWaiting(limit);
      if (unanswered && TakeAllowance(limit)) {
        actions.push_back(AdmitRequest{request});
      } else if (unanswered) {
        actions.push_back(RefuseRequest{request, false, kNoOwnerRetryAfter});
      } else {
        actions.push_back(OverLimit(limit, request));
      }
    }
    if (limit.claim_at && now >= *limit.claim_at) {
      limit.claim_at.reset();
      if (!limit.waiting.empty() && !limit.pending)
        SendClaimFor(name, limit, actions);
    }
    UpdateActive(name, limit);
  }
}

std::optional<base::TimePoint> QuotaClient::NextWakeup() const {
  std::optional<base::TimePoint> next;
  const auto consider = [&next](base::TimePoint at) {
    if (!next || at < *next) next = at;
  };
  for (const std::string& name : active_) {
    const Limit& limit = limits_.at(name);
    if (limit.pending) consider(limit.pending->lost_at);
    if (limit.claim_at) consider(*limit.claim_at);
    if (!limit.waiting.empty()) consider(limit.waiting.front().until);
  }
  return next;
}

void QuotaClient::RefuseAll(Actions& actions) {
  for (auto& [name, limit] : limits_) {
    limit.claim_at.reset();
    while (!limit.waiting.empty())
      actions.push_back(
          RefuseRequest{PopWaiting(limit), false, kNoOwnerRetryAfter});
    UpdateActive(name, limit);
  }
}

void QuotaClient::CountDemand(Limit& limit) const {
  const base::TimePoint now = clock_.Now();
  const double decay =
      std::exp(-InSeconds(now - limit.demand_at) / kDemandSeconds);
  limit.demand = limit.demand * decay + 1 / kDemandSeconds;
  limit.demand_at = now;
}

double QuotaClient::Expected(const Limit& limit) const {
  const double life = InSeconds(limit.plan.token_life);
  if (limit.demand * std::min(life, kDemandSeconds) < kMinExpected) return 0;
  return std::floor(limit.demand * std::min(kMaxAdvance, kAdvancePart * life));
}

double QuotaClient::HeldTokens(Limit& limit, base::TimePoint now) {
  while (!limit.held.empty() &&
         (limit.held.front().expires <= now || limit.held.front().tokens < 1))
    limit.held.pop_front();
  double total = 0;
  for (const ExpiringTokens& held : limit.held) total += held.tokens;
  return total;
}

bool QuotaClient::TakeHeld(Limit& limit, base::TimePoint now) {
  if (HeldTokens(limit, now) < 1) return false;
  limit.held.front().tokens -= 1;
  return true;
}

bool QuotaClient::TakeAllowance(Limit& limit) {
  const base::TimePoint now = clock_.Now();
  const auto hosts =
      static_cast<double>(std::max<std::size_t>(1, owners_.host_count()));
  // If there are fewer tokens than hosts, the first hosts get one each.
  const double burst = limit.plan.allowance_burst;
  const double users = std::min(hosts, std::floor(burst));
  if (users < 1) return false;
  if (!limit.rank) limit.rank = owners_.RankOfSelf(limit.spec.name);
  if (static_cast<double>(*limit.rank) >= users) return false;
  // The bucket of a new process is empty, so that restarts add nothing.
  limit.allowance = std::min(
      burst / users, limit.allowance + InSeconds(now - limit.allowance_at) *
                                           limit.plan.allowance_rate / users);
  limit.allowance_at = now;
  if (limit.allowance < 1) return false;
  limit.allowance -= 1;
  return true;
}

bool QuotaClient::MayWait(const Limit& limit) const {
  // More requests than this cannot be granted in the time that they may wait.
  const double granted = limit.spec.burst + limit.plan.capacity +
                         2 * limit.spec.rate * InSeconds(kMaxWait);
  return static_cast<double>(limit.waiting.size()) <= granted;
}

std::uint64_t QuotaClient::PopWaiting(Limit& limit) {
  const std::uint64_t request = limit.waiting.front().request;
  limit.waiting.pop_front();
  limit_of_request_.erase(request);
  return request;
}

void QuotaClient::SendClaimFor(const std::string& name, Limit& limit,
                               Actions& actions) {
  const auto [host, region] = ChooseOwner(name);
  if (host.empty()) {
    ServeWithoutOwner(limit, actions);
    return;
  }
  const base::TimePoint now = clock_.Now();
  limit.claim_at.reset();
  limit.pending = {host, now, now + kClaimTimeout};
  // The last owner in order gets the rest of the time that requests may wait.
  if (region != owners_.regions().front())
    limit.pending->lost_at = now + kMaxWait;
  const double tokens = std::max(
      1.0, static_cast<double>(limit.waiting.size()) + Expected(limit));
  actions.push_back(SendClaim{host,
                              {.limit = name,
                               .region = region,
                               .tokens = tokens,
                               .for_region = {},
                               .sent = now}});
}

std::pair<std::string, std::string> QuotaClient::ChooseOwner(
    const std::string& limit) {
  for (const std::string& region : owners_.regions()) {
    const std::string& owner = owners_.OwnerOf(limit, region);
    if (!owner.empty() && !HasFailed(owner) &&
        !HasFailed(ShareOf(owner, limit, region)))
      return {owner, region};
  }
  return {};
}

bool QuotaClient::HasFailed(const std::string& peer) const {
  const auto found = failed_.find(peer);
  return found != failed_.end() && clock_.Now() < found->second;
}

void QuotaClient::AdmitWaiting(Limit& limit, Actions& actions) {
  const base::TimePoint now = clock_.Now();
  while (!limit.waiting.empty() && TakeHeld(limit, now))
    actions.push_back(AdmitRequest{PopWaiting(limit)});
}

void QuotaClient::OnEmpty(Limit& limit, base::Duration wait, Actions& actions) {
  const base::TimePoint at = clock_.Now() + wait;
  limit.stated_wait = wait;
  while (!limit.waiting.empty() &&
         limit.waiting.front().until <= at + kReplyTime)
    actions.push_back(OverLimit(limit, PopWaiting(limit)));
  if (limit.waiting.empty()) {
    limit.refuse_until = at;
  } else {
    limit.claim_at = at;
  }
}

void QuotaClient::OnOwnerFailed(const std::string& name, Limit& limit,
                                Actions& actions) {
  if (!limit.waiting.empty()) SendClaimFor(name, limit, actions);
}

void QuotaClient::ServeWithoutOwner(Limit& limit, Actions& actions) {
  while (!limit.waiting.empty()) {
    const std::uint64_t request = PopWaiting(limit);
    if (TakeAllowance(limit)) {
      actions.push_back(AdmitRequest{request});
    } else {
      actions.push_back(RefuseRequest{request, false, kNoOwnerRetryAfter});
    }
  }
}

RefuseRequest QuotaClient::OverLimit(Limit& limit,
                                     std::uint64_t request) const {
  const base::TimePoint now = clock_.Now();
  // Each refused caller is told a later time than the one before. A host that
  // shares the limit with others gets a part of the rate only, which the
  // owner's stated wait reflects.
  const base::Duration step =
      std::max(Seconds(1 / limit.spec.rate), limit.stated_wait);
  limit.next_return =
      std::min(now + bounds_.window,
               std::max({limit.next_return, limit.refuse_until, now}) + step);
  return {request, true,
          std::chrono::ceil<milliseconds>(limit.next_return - now)};
}

void QuotaClient::UpdateActive(const std::string& name, const Limit& limit) {
  if (limit.pending || limit.claim_at || !limit.waiting.empty()) {
    active_.insert(name);
  } else {
    active_.erase(name);
  }
}

}  // namespace berylreach::forward
