// Detection of failed members by missed heartbeats.
#include "berylreach/membership/failure_detector.h"

#include <utility>

#include "berylreach/membership/constants.h"
#include "berylreach/membership/witness_set.h"

namespace berylreach::membership {

void FailureDetector::StartEpoch(const std::vector<model::Member>& members,
                                 base::TimePoint now) {
  std::map<model::HostName, Tracked> tracked;
  for (const model::Member& member : members) {
    if (member.host == self_) continue;
    const std::vector<model::Member> witnesses =
        WitnessesOf(members, member.host);
    for (std::size_t rank = 0; rank < witnesses.size(); ++rank) {
      if (witnesses[rank].host != self_) continue;
      const auto before = tracked_.find(member.host);
      const bool known = before != tracked_.end() &&
                         before->second.incarnation == member.incarnation;
      tracked[member.host] =
          Tracked{member.incarnation, rank,
                  known ? before->second.last_heartbeat : now};
    }
  }
  tracked_ = std::move(tracked);
}

void FailureDetector::OnHeartbeat(const model::HostName& host,
                                  std::uint64_t incarnation,
                                  base::TimePoint now) {
  const auto found = tracked_.find(host);
  if (found == tracked_.end()) return;
  if (found->second.incarnation == incarnation)
    found->second.last_heartbeat = now;
}

void FailureDetector::RestartTimers(base::TimePoint now) {
  for (auto& [host, tracked] : tracked_) tracked.last_heartbeat = now;
}

std::vector<model::HostName> FailureDetector::Suspects(
    base::TimePoint now) const {
  return SilentFor(kFailureTimeout, now);
}

std::vector<model::HostName> FailureDetector::SilentFor(
    base::Duration span, base::TimePoint now) const {
  std::vector<model::HostName> silent;
  for (const auto& [host, tracked] : tracked_) {
    if (now - tracked.last_heartbeat >= span) silent.push_back(host);
  }
  return silent;
}

bool FailureDetector::HasRecentHeartbeat(const model::HostName& host,
                                         std::uint64_t incarnation,
                                         base::TimePoint now) const {
  const auto found = tracked_.find(host);
  return found != tracked_.end() && found->second.incarnation == incarnation &&
         now - found->second.last_heartbeat < kFailureTimeout;
}

bool FailureDetector::HearsFromAtLeastHalf(base::TimePoint now) const {
  return 2 * Suspects(now).size() <= tracked_.size();
}

std::vector<model::HostName> FailureDetector::RemovalCandidates(
    base::TimePoint now) const {
  std::vector<model::HostName> candidates;
  for (const auto& [host, tracked] : tracked_) {
    const auto timeout =
        kFailureTimeout + kProposalStagger * static_cast<int>(tracked.rank);
    if (now - tracked.last_heartbeat >= timeout) candidates.push_back(host);
  }
  return candidates;
}

}  // namespace berylreach::membership
