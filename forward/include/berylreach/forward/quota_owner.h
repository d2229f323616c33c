// Grants tokens of the shares of limits that this host owns.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "berylreach/base/clock.h"
#include "berylreach/forward/limit_owners.h"
#include "berylreach/forward/shared_limit.h"

namespace berylreach::forward {

/// Event: the store has registered this host under a lease, or renewed the
/// lease of its registration, so that other hosts see it until the lease ends.
struct LeaseRenewed {
  /// When the acknowledged call was sent.
  base::TimePoint sent{};
  /// The lease is a new one, so that other hosts may have taken over this
  /// host's shares in the meantime.
  bool is_new = false;
};

/// Counts of an owner since the start of the process.
struct QuotaOwnerCounters {
  std::uint64_t claims = 0;
  std::uint64_t granted = 0;
  std::uint64_t empty = 0;
  std::uint64_t not_owner = 0;
};

/// Keeps a token bucket for each share that this host owns by its list of
/// hosts, and grants from it. A grant is subtracted before it is sent, so lost
/// messages only lose tokens. An owner grants less while another host may still
/// grant of the same share: LimitPlan states how much that adds to the bound.
/// Not thread-safe.
class QuotaOwner {
 public:
  using Actions = std::vector<SendClaim>;

  /// Longest time for which a host that is not reachable may own a share by its
  /// own, older list of hosts: the lease of a registration.
  static constexpr std::chrono::seconds kLeaseTime{30};
  /// Time after the last acknowledged renewal for which the lease is valid by
  /// this host's clock; less than kLeaseTime by the deviation of clocks and by
  /// the time that renewals and removals take.
  static constexpr std::chrono::seconds kLeaseValid{28};

  QuotaOwner(const base::Clock& clock, LimitOwners& owners, QuotaBounds bounds);

  /// Sets the limits of the configuration in force. Lowered limits reduce their
  /// buckets at once.
  void SetLimits(const std::vector<LimitSpec>& limits);
  void OnLeaseRenewed(const LeaseRenewed& event);
  /// Records that the other hosts may not see this host's registration, so that
  /// its rights have ended until it has a new one.
  void OnRegistrationLost();
  /// Set whether the view of the deployment is current. Without a current view,
  /// as after a pause of the process, nothing is granted.
  void OnProcessPaused();
  void OnViewCurrent();
  /// Ends all grants for good.
  void Stop() { stopped_ = true; }

  /// Answers a claim of `from`, and appends claims for tokens of other owners.
  Grant OnClaim(const std::string& from, const Claim& claim, Actions& actions);
  /// Handles the answer of `from` to a claim that this owner has sent at
  /// `sent`.
  void OnGrant(const std::string& from, const Claim& claim,
               base::TimePoint sent, const Grant& grant, Actions& actions);
  /// Forgets shares that nobody uses, asks other hosts to confirm that they do
  /// not grant of this host's shares, and asks for witnesses. To be called
  /// several times a second.
  void Tick(Actions& actions);

  const QuotaOwnerCounters& counters() const { return counters_; }
  std::size_t size() const { return shares_.size(); }

 private:
  using Key = std::pair<std::string, std::string>;

  struct Limit {
    LimitSpec spec;
    LimitPlan plan;
  };
  struct Share {
    double tokens = 0;
    base::TimePoint accrued_at{};
    /// From when on no other host can grant of this share. Before, the hosts
    /// that could own it may confirm that they do not grant, with effect from
    /// `not_before`.
    base::TimePoint full_from{};
    base::TimePoint not_before{};
    /// Hosts that have confirmed, and whether they registered only recently.
    std::map<std::string, bool> confirmed;
    /// When each host that has not confirmed was last asked.
    std::map<std::string, base::TimePoint> asked_at;
    base::TimePoint claimed_at{};
    /// Tokens that owners of other regions have given. Together with `tokens`
    /// they fit into the bucket, so that they may stay in it.
    double borrowed = 0;
    /// Tokens that claims have lacked since other owners were last asked.
    double unmet = 0;
    base::TimePoint borrow_asked_at{};
    double last_asked = 0;
    /// When an owner of another region has last given tokens.
    base::TimePoint borrow_gave_at{};
    /// Recent tokens per second granted in this region.
    double recent_rate = 0;
    base::TimePoint recent_at{};
    /// The latest time that was given to a refused claimant.
    base::TimePoint next_return{};
  };

  bool MayGrant() const;
  /// Begins shares of this host's region before they are claimed, as long as
  /// they need the confirmation of other hosts.
  void PrepareShares();
  /// Returns until when no other host can take over the shares of this host:
  /// while its lease is valid, or while no host of its region has a valid one.
  base::TimePoint RightsEnd() const;
  bool LeaseIsValid() const {
    return lease_sent_ && !registration_lost_ &&
           clock_.Now() < *lease_sent_ + kLeaseValid;
  }
  void AskForWitnesses(Actions& actions);
  void OnWitness(const std::string& from, base::TimePoint sent);
  void AccrueAll();
  /// Returns the share if this host owns it by its list of hosts.
  Share* FindShare(const Key& key, const Limit& limit);
  Share NewShare(const Key& key, const Limit& limit) const;
  void Accrue(Share& share, const Limit& limit) const;
  /// Takes at most `wanted` whole tokens.
  static double Take(Share& share, double wanted);
  Grant GrantToHost(Share& share, const Limit& limit, const Claim& claim,
                    Actions& actions);
  Grant GrantToOwner(Share& share, const Limit& limit, const Claim& claim);
  /// Ends this host's part in the share, which `from` holds for its own.
  Grant Release(const std::string& from, const Key& key);
  bool IsNewcomer() const { return clock_.Now() < began_at_ + kLeaseTime; }
  /// Asks the hosts that could own the share in order of rank, until one that
  /// is no newcomer has confirmed that it grants nothing: no host below it can
  /// hold itself for the owner.
  void AskToConfirm(const Key& key, Share& share, Actions& actions) const;
  void AskOtherOwners(const Key& key, Share& share, const Limit& limit,
                      Actions& actions);
  /// Returns the time after which a claimant should ask again, later for each
  /// claimant.
  std::chrono::milliseconds AssignReturn(Share& share, const Limit& limit,
                                         double wanted) const;

  const base::Clock& clock_;
  LimitOwners& owners_;
  const QuotaBounds bounds_;
  std::unordered_map<std::string, Limit> limits_;
  std::map<Key, Share> shares_;
  /// Shares that another host has taken over, with the time.
  std::map<Key, base::TimePoint> released_;
  /// Since when this process may own shares, and from when on the confirmation
  /// of another host counts.
  base::TimePoint began_at_;
  base::TimePoint confirm_from_;
  /// Since when the buckets fill that were not in use; later than began_at_
  /// after a pause.
  base::TimePoint fill_from_;
  base::TimePoint prepared_at_{};
  std::optional<base::TimePoint> lease_sent_;
  bool registration_lost_ = false;
  /// When the claims were sent by which other hosts of the region have
  /// confirmed that their leases may have expired.
  std::map<std::string, base::TimePoint> witnesses_;
  base::TimePoint witnesses_asked_at_{};
  base::TimePoint witnessed_until_{};
  bool view_current_ = true;
  bool stopped_ = false;
  QuotaOwnerCounters counters_;
};

}  // namespace berylreach::forward
