// Objections against removals.
#include "berylreach/membership/removal_votes.h"

#include <algorithm>

#include "berylreach/membership/constants.h"

namespace berylreach::membership {

void RemovalVotes::SetDue(const std::vector<model::HostName>& due,
                          base::TimePoint now) {
  std::erase_if(votes_, [&](const auto& item) {
    return std::find(due.begin(), due.end(), item.first) == due.end();
  });
  for (const model::HostName& host : due) {
    votes_.try_emplace(host, Vote{now, now});
  }
}

void RemovalVotes::OnObjection(const model::HostName& host,
                               base::TimePoint now) {
  const auto found = votes_.find(host);
  if (found != votes_.end()) found->second.objected_at = now;
}

std::vector<model::HostName> RemovalVotes::ToAsk(base::TimePoint now) {
  std::vector<model::HostName> hosts;
  for (auto& [host, vote] : votes_) {
    if (now < vote.next_question) continue;
    vote.next_question = now + kSilenceNoticeInterval;
    hosts.push_back(host);
  }
  return hosts;
}

std::vector<model::HostName> RemovalVotes::Removable(
    bool hears_majority, base::TimePoint now) const {
  const auto wait = hears_majority ? kObjectionTime : kMinorityRemovalDelay;
  std::vector<model::HostName> hosts;
  for (const auto& [host, vote] : votes_) {
    const bool objected = vote.objected_at != base::TimePoint::min() &&
                          now - vote.objected_at < kObjectionLifetime;
    if (!objected && now - vote.since >= wait) hosts.push_back(host);
  }
  return hosts;
}

}  // namespace berylreach::membership
