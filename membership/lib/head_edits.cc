// The changes that a host makes to the members and removed hosts of the head
// record.
#include "berylreach/membership/head_edits.h"

#include <algorithm>

#include "berylreach/membership/witness_set.h"

namespace berylreach::membership {

model::HeadRecord WithJoined(const model::HeadRecord& head,
                             const model::Member& self) {
  model::HeadRecord next = head;
  ++next.epoch;
  next.writer = self.host.value;
  std::erase_if(next.removed_hosts, [&](const model::RemovedHost& removed) {
    return removed.member == self;
  });
  // The process of the earlier incarnation has ended, but its calls may still
  // run on their leaves. The earlier incarnation is fenced once its lease has
  // expired, so its quorum is not used.
  if (const model::Member* earlier = FindMember(head.members, self.host)) {
    next.removed_hosts.push_back(model::RemovedHost{*earlier, next.epoch, 1});
    std::erase(next.members, *earlier);
  }
  next.members.push_back(self);
  std::sort(next.members.begin(), next.members.end());
  return next;
}

model::HeadRecord WithRemoved(const model::HeadRecord& head,
                              const std::vector<model::HostName>& removed,
                              const QuorumHistory& quorums,
                              const FencedPredicate& fenced) {
  model::HeadRecord next = head;
  ++next.epoch;
  std::erase_if(next.removed_hosts, fenced);
  for (const model::HostName& host : removed) {
    const model::Member* member = FindMember(head.members, host);
    if (member == nullptr) continue;
    next.removed_hosts.push_back(model::RemovedHost{
        *member, next.epoch, quorums.MinimumQuorum(*member)});
    std::erase(next.members, *member);
  }
  return next;
}

model::HeadRecord WithoutFenced(const model::HeadRecord& head,
                                const FencedPredicate& fenced) {
  model::HeadRecord next = head;
  std::erase_if(next.removed_hosts, fenced);
  return next;
}

}  // namespace berylreach::membership
