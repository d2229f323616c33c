// Decides on requests that are subject to limits of all hosts together.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "berylreach/base/clock.h"
#include "berylreach/forward/limit_owners.h"
#include "berylreach/forward/shared_limit.h"

namespace berylreach::forward {

/// Action: run the request.
struct AdmitRequest {
  std::uint64_t request = 0;
};

/// Action: refuse the request, which has not run. `over_limit` is false if no
/// owner of the limit can be asked.
struct RefuseRequest {
  std::uint64_t request = 0;
  bool over_limit = true;
  std::chrono::milliseconds retry_after{0};
};

using QuotaAction = std::variant<SendClaim, AdmitRequest, RefuseRequest>;

/// Admits requests as far as this host holds tokens of their limits, and claims
/// tokens from the owners of the limits. Each request is admitted or refused
/// once, within kMaxWait, unless it is cancelled. Each event appends its
/// actions to `actions`. Not thread-safe.
class QuotaClient {
 public:
  using Actions = std::vector<QuotaAction>;

  /// Longest time for which a request waits for tokens.
  static constexpr std::chrono::milliseconds kMaxWait{100};

  QuotaClient(const base::Clock& clock, LimitOwners& owners,
              QuotaBounds bounds);

  /// Sets the limits of the configuration in force. Requests of limits that are
  /// gone are admitted.
  void SetLimits(const std::vector<LimitSpec>& limits, Actions& actions);
  void OnHostsChanged();
  /// Whether requests of `limit` need tokens.
  bool HasLimit(const std::string& limit) const {
    return limits_.contains(limit);
  }

  /// Handles a request that needs a token of `limit`.
  void OnRequest(std::uint64_t request, const std::string& limit,
                 Actions& actions);
  /// Forgets a request that waits and whose caller has left.
  void OnCancelled(std::uint64_t request);
  /// Handles the answer of `host` to a claim sent at `sent`.
  void OnGrant(const std::string& host, const Claim& claim,
               base::TimePoint sent, const Grant& grant, Actions& actions);
  /// Handles a claim that was not answered.
  void OnClaimLost(const std::string& host, const Claim& claim,
                   base::TimePoint sent, Actions& actions);
  /// Handles the times that have passed; due at NextWakeup.
  void Tick(Actions& actions);
  std::optional<base::TimePoint> NextWakeup() const;
  /// Refuses the requests that wait.
  void RefuseAll(Actions& actions);

 private:
  struct ExpiringTokens {
    double tokens = 0;
    base::TimePoint expires{};
  };
  struct Waiting {
    std::uint64_t request = 0;
    base::TimePoint until{};
  };
  struct PendingClaim {
    std::string host;
    base::TimePoint sent{};
    base::TimePoint lost_at{};
  };
  struct Limit {
    LimitSpec spec;
    LimitPlan plan;
    std::deque<ExpiringTokens> held;
    std::deque<Waiting> waiting;
    std::optional<PendingClaim> pending;
    /// When to claim again for requests that wait.
    std::optional<base::TimePoint> claim_at;
    /// Until when requests are refused without a claim, and the wait that the
    /// owner has stated.
    base::TimePoint refuse_until{};
    base::Duration stated_wait{};
    /// The latest time at which a refused caller was told to return.
    base::TimePoint next_return{};
    /// Recent requests per second.
    double demand = 0;
    base::TimePoint demand_at{};
    /// Tokens that may be used without an owner.
    double allowance = 0;
    base::TimePoint allowance_at{};
    std::optional<std::size_t> rank;
  };

  void CountDemand(Limit& limit) const;
  double Expected(const Limit& limit) const;
  static double HeldTokens(Limit& limit, base::TimePoint now);
  static bool TakeHeld(Limit& limit, base::TimePoint now);
  bool TakeAllowance(Limit& limit);
  bool MayWait(const Limit& limit) const;
  /// Removes the first waiting request.
  std::uint64_t PopWaiting(Limit& limit);
  void SendClaimFor(const std::string& name, Limit& limit, Actions& actions);
  /// Returns the owner to claim from and its region; an empty owner if none can
  /// be asked.
  std::pair<std::string, std::string> ChooseOwner(const std::string& limit);
  bool HasFailed(const std::string& peer) const;
  void AdmitWaiting(Limit& limit, Actions& actions);
  /// Handles the owner's statement that it has no tokens for `wait`.
  void OnEmpty(Limit& limit, base::Duration wait, Actions& actions);
  void OnOwnerFailed(const std::string& name, Limit& limit, Actions& actions);
  RefuseRequest OverLimit(Limit& limit, std::uint64_t request) const;
  /// Serves waiting requests from the allowance, and refuses the others.
  void ServeWithoutOwner(Limit& limit, Actions& actions);
  /// Keeps `active_` and the time of the next event of a limit.
  void UpdateActive(const std::string& name, const Limit& limit);

  const base::Clock& clock_;
  LimitOwners& owners_;
  const QuotaBounds bounds_;
  std::unordered_map<std::string, Limit> limits_;
  std::unordered_map<std::uint64_t, std::string> limit_of_request_;
  /// Limits with waiting requests or pending claims.
  std::set<std::string> active_;
  /// Hosts and regions that could not be claimed from, with the time until
  /// which they are not asked again.
  std::map<std::string, base::TimePoint> failed_;
  base::TimePoint began_at_;
};

}  // namespace berylreach::forward
