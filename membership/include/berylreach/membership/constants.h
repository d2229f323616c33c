// Timeouts, intervals and limits of membership.
#pragma once

#include <chrono>
#include <cstddef>

namespace berylreach::membership {

/// Duration of a serving lease. It starts when the heartbeat or store write
/// that extends the lease was sent.
inline constexpr std::chrono::milliseconds kLeaseDuration{1500};
/// Maximum drift between the clocks of two hosts during one lease.
inline constexpr std::chrono::milliseconds kClockMargin{200};
/// Interval between heartbeats, and minimum interval between two Release
/// messages to the same peer.
inline constexpr std::chrono::milliseconds kHeartbeatInterval{300};
/// Time without a heartbeat after which a witness suspects a member of having
/// failed.
inline constexpr std::chrono::milliseconds kFailureTimeout{1000};
/// Time without a heartbeat after which calls avoid a member if there is an
/// alternative: two heartbeats have been missed.
inline constexpr std::chrono::milliseconds kSilentMemberThreshold{700};
/// Delay between the removal proposals of two witnesses of consecutive rank, so
/// that they do not write the head record at the same time.
inline constexpr std::chrono::milliseconds kProposalStagger{300};
/// Time between two events above which this process must have been suspended,
/// since Tick is called at least every `kTickInterval`.
inline constexpr std::chrono::milliseconds kSuspensionThreshold{500};
/// A lease with less time left than this is renewed through the store. After
/// two lost heartbeats 900 ms are left.
inline constexpr std::chrono::milliseconds kStoreRenewalThreshold{900};
/// Minimum time between two lease renewals through the store, and between a
/// failed store call and its retry.
inline constexpr std::chrono::milliseconds kStoreRetryInterval{500};
/// Maximum time between a failed store call and its retry, without jitter.
inline constexpr std::chrono::milliseconds kMaxStoreRetryInterval{2000};
/// Timeout of a read or compare-and-swap of the head record. Its outcome is
/// then unknown.
inline constexpr std::chrono::milliseconds kStoreCallTimeout{2000};
/// Time for which the store may keep a watch of the head record open. A store
/// that was away may have forgotten the watch, and its delegate then waits in
/// vain. Two delegates and their polls of the host list stay within three calls
/// per second.
inline constexpr std::chrono::milliseconds kWatchWait{3000};
/// Time after its wait at which a watch without an answer is abandoned.
inline constexpr std::chrono::milliseconds kWatchGrace{1000};
/// Wait of a watch that follows one without an answer. The store answers it at
/// once, so that it is not lost for long if the store is still away.
inline constexpr std::chrono::milliseconds kProbingWatchWait{1};
/// Interval at which this host asks the other witnesses of a silent host
/// whether they still receive its heartbeats.
inline constexpr std::chrono::milliseconds kSilenceNoticeInterval{100};
/// Time that the other witnesses have to object to a removal: three round trips
/// between regions.
inline constexpr std::chrono::milliseconds kObjectionWindow{120};
/// Time for which one objection prevents the removal of a host. It is longer
/// than the failure timeout of the objecting witness.
inline constexpr std::chrono::milliseconds kObjectionLifetime{1200};
/// Delay of removals by a host that receives heartbeats from fewer than half of
/// the members that it witnesses. If it is partitioned from the others, they
/// remove it in the meantime.
inline constexpr std::chrono::milliseconds kMinorityRemovalDelay{5000};
/// Host list polling interval of the first delegate.
inline constexpr std::chrono::milliseconds kFirstDelegatePollInterval{750};
/// Host list polling interval of the second delegate.
inline constexpr std::chrono::milliseconds kSecondDelegatePollInterval{1500};
/// Delay before a removed host joins again. It doubles with each removal within
/// `kStableMembership` after a join, up to `kMaxRejoinDelay`, so that a host
/// that reaches the store but not its peers does not change the epoch every
/// second.
inline constexpr std::chrono::milliseconds kRejoinDelay{200};
inline constexpr std::chrono::milliseconds kMaxRejoinDelay{30000};
inline constexpr std::chrono::milliseconds kStableMembership{30000};
/// Maximum time between two calls of Membership::Tick.
inline constexpr std::chrono::milliseconds kTickInterval{100};
/// Maximum number of witnesses of a member.
inline constexpr std::size_t kMaxWitnesses = 5;

}  // namespace berylreach::membership
