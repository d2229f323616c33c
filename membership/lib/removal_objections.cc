// Objections of other witnesses to the removal of silent hosts.
#include "berylreach/membership/removal_objections.h"

#include <algorithm>

#include "berylreach/membership/constants.h"

namespace berylreach::membership {

void RemovalObjections::SetCandidates(const std::vector<model::HostName>& hosts,
                                      base::TimePoint now) {
  std::erase_if(candidates_, [&](const auto& item) {
    return std::find(hosts.begin(), hosts.end(), item.first) == hosts.end();
  });
  for (const model::HostName& host : hosts) {
    candidates_.try_emplace(host, Candidate{now, now});
  }
}

void RemovalObjections::OnObjection(const model::HostName& host,
                                    base::TimePoint now) {
  const auto found = candidates_.find(host);
  if (found != candidates_.end()) found->second.objected_at = now;
}

std::vector<model::HostName> RemovalObjections::HostsToInquireAbout(
    base::TimePoint now) {
  std::vector<model::HostName> hosts;
  for (auto& [host, candidate] : candidates_) {
    if (now < candidate.next_inquiry) continue;
    candidate.next_inquiry = now + kSilenceNoticeInterval;
    hosts.push_back(host);
  }
  return hosts;
}

std::vector<model::HostName> RemovalObjections::Removable(
    bool hears_from_at_least_half, base::TimePoint now) const {
  const auto wait =
      hears_from_at_least_half ? kObjectionWindow : kMinorityRemovalDelay;
  std::vector<model::HostName> hosts;
  for (const auto& [host, candidate] : candidates_) {
    const bool objected = candidate.objected_at != base::TimePoint::min() &&
                          now - candidate.objected_at < kObjectionLifetime;
    if (!objected && now - candidate.since >= wait) hosts.push_back(host);
  }
  return hosts;
}

}  // namespace berylreach::membership
