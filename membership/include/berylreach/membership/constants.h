// Time constants of membership.
#pragma once

#include <chrono>
#include <cstddef>

namespace berylreach::membership {

/// Length of a serving lease, from the start of the proof.
inline constexpr std::chrono::milliseconds kLeaseDuration{1500};
/// Bound on the drift between two hosts' clocks during one lease.
inline constexpr std::chrono::milliseconds kClockMargin{200};
/// Interval between heartbeats, and between repeats of Release.
inline constexpr std::chrono::milliseconds kHeartbeatInterval{300};
/// Silence after which a member is suspected.
inline constexpr std::chrono::milliseconds kFailureTimeout{1000};
/// Silence after which calls avoid a member while there is another choice: two
/// heartbeats have been missed.
inline constexpr std::chrono::milliseconds kSilentMemberThreshold{700};
/// Delay between the proposals of two witnesses of consecutive rank.
inline constexpr std::chrono::milliseconds kProposalStagger{300};
/// A gap between events that shows that this host was frozen.
inline constexpr std::chrono::milliseconds kFreezeThreshold{500};
/// A lease with less time left than this is extended through the store. Two
/// lost heartbeats leave 900 ms.
inline constexpr std::chrono::milliseconds kStoreRenewalThreshold{900};
/// Least time between two store touches, and between a failed store call and
/// its repeat.
inline constexpr std::chrono::milliseconds kStoreRetryInterval{500};
/// Longest time between a failed store call and its repeat, without jitter.
inline constexpr std::chrono::milliseconds kMaxStoreRetryInterval{2000};
/// A read or compare-and-swap without an answer for this long counts as
/// unknown.
inline constexpr std::chrono::milliseconds kStoreCallTimeout{2000};
/// Wait of a watch of the head record.
inline constexpr std::chrono::milliseconds kWatchWait{10000};
/// Time after `kWatchWait` at which an unanswered watch is abandoned.
inline constexpr std::chrono::milliseconds kWatchGrace{2000};
/// Interval at which the other witnesses of a silent host are asked.
inline constexpr std::chrono::milliseconds kSilenceNoticeInterval{100};
/// Time for the other witnesses to object: three round trips between regions.
inline constexpr std::chrono::milliseconds kObjectionWindow{120};
/// How long one objection protects a host; longer than the failure timeout of
/// the objecting witness.
inline constexpr std::chrono::milliseconds kObjectionLifetime{1200};
/// Time for which a host that hears less than half of its peers leaves their
/// removal to others, who remove this host in the meantime if it is cut off.
inline constexpr std::chrono::milliseconds kMinorityRemovalDelay{5000};
/// Host list polling interval of the first delegate.
inline constexpr std::chrono::milliseconds kFirstDelegatePollInterval{750};
/// Host list polling interval of the second delegate.
inline constexpr std::chrono::milliseconds kSecondDelegatePollInterval{1500};
/// Delay before a removed host joins again; doubles with each removal that
/// follows within `kStableMembership`, so that a host that reaches the store
/// but not its peers does not change the epoch every second.
inline constexpr std::chrono::milliseconds kRejoinDelay{200};
inline constexpr std::chrono::milliseconds kMaxRejoinDelay{30000};
inline constexpr std::chrono::milliseconds kStableMembership{30000};
/// Longest time between two calls of Tick.
inline constexpr std::chrono::milliseconds kTickInterval{100};
/// Most witnesses of a member.
inline constexpr std::size_t kMaxWitnesses = 5;

}  // namespace berylreach::membership
