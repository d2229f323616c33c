// Limits that all hosts keep together: their parameters, and the messages by
// which hosts pass on the right to use them.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

#include "berylreach/base/clock.h"

namespace berylreach::forward {

/// A named limit that applies to all hosts together.
struct LimitSpec {
  std::string name;
  /// Tokens per second; more than 0.
  double rate = 0;
  /// Tokens that may be used at once beyond the rate.
  double burst = 0;

  friend bool operator==(const LimitSpec&, const LimitSpec&) = default;
};

/// In each sliding window, at most (rate x window + burst) x (1 + overage) +
/// slack tokens of a limit are used.
struct QuotaBounds {
  base::Duration window = std::chrono::seconds(5);
  double overage = 0.1;
  double slack = 20;

  friend bool operator==(const QuotaBounds&, const QuotaBounds&) = default;
};

/// Purpose of a claim.
enum class ClaimKind : std::uint8_t {
  /// A host needs tokens for its requests.
  kForRequests,
  /// The owner of another region's share needs tokens for its claimants.
  kForOwner,
  /// A host that has become the owner of the share asks the receiver to confirm
  /// that it grants no more of it.
  kRelease,
  /// A host whose registration may have expired asks the receiver to confirm
  /// that the receiver's may have expired too. Names no limit.
  kWitness,
};

/// A request for tokens of one region's share of a limit, sent to the owner of
/// the share.
struct Claim {
  std::string limit;
  std::string region;
  ClaimKind kind = ClaimKind::kForRequests;
  double tokens = 0;
  /// The share for which another owner asks, and when the claim was sent by the
  /// sender's clock. Both stay with the sender.
  std::string for_region;
  base::TimePoint sent{};

  friend bool operator==(const Claim&, const Claim&) = default;
};

/// What a claim resulted in.
enum class GrantStatus : std::uint8_t {
  /// The claim is answered with `tokens`, or released if it asked for that.
  kGranted,
  /// There are no tokens until `retry_after` has passed.
  kEmpty,
  /// The receiver does not own the share, or may not grant of it now.
  kNotOwner,
  /// The share is released, but the receiver registered only recently, so that
  /// a host below it in rank may not know of it yet and may grant.
  kReleasedByNewcomer,
};

/// Answer to a claim.
struct Grant {
  std::string limit;
  GrantStatus status = GrantStatus::kNotOwner;
  double tokens = 0;
  std::chrono::milliseconds retry_after{0};

  friend bool operator==(const Grant&, const Grant&) = default;
};

/// Action: send a claim to a host, which may be this host itself.
struct SendClaim {
  std::string host;
  Claim claim;

  friend bool operator==(const SendClaim&, const SendClaim&) = default;
};

/// How the tokens of a limit, and what the bound permits beyond its rate and
/// burst, are divided. The parts of that excess add up to less than all of it.
struct LimitPlan {
  /// Tokens per second and bucket size of the share of one region.
  double region_rate = 0;
  double capacity = 0;
  /// Longest time for which tokens are on their way between two owners.
  static constexpr std::chrono::milliseconds kMaxTransit{100};
  /// Lifetime of a token at a host from the sending of the claim. A token that
  /// is granted before a window and used in it counts in that window too.
  base::Duration token_life{};
  /// What the bucket of a new owner holds.
  double start_tokens = 0;
  /// Tokens per second and bucket size of an owner whose predecessor may still
  /// grant, and of one whose own registration may have expired.
  double unconfirmed_rate = 0;
  double unconfirmed_capacity = 0;
  double unregistered_rate = 0;
  double unregistered_capacity = 0;
  /// Tokens that all hosts together may use without an owner: at once, and per
  /// second.
  double allowance_burst = 0;
  double allowance_rate = 0;
};

/// Divides a limit among `regions` regions.
LimitPlan PlanLimit(const LimitSpec& spec, const QuotaBounds& bounds,
                    std::size_t regions);

}  // namespace berylreach::forward
