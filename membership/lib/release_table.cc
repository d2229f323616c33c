// Recording and lookup of the newest Release of each incarnation.
#include "berylreach/membership/release_table.h"

#include <algorithm>

#include "berylreach/membership/witness_set.h"

namespace berylreach::membership {
namespace {

/// Whether `record` contains the incarnation as a member or a removed host.
bool NamesIncarnation(const model::HeadRecord& record,
                      const model::HostName& host, std::uint64_t incarnation) {
  if (FindMember(record.members, host, incarnation) != nullptr) return true;
  return std::any_of(record.removed_hosts.begin(), record.removed_hosts.end(),
                     [&](const model::RemovedHost& removed) {
                       return removed.member.host == host &&
                              removed.member.incarnation == incarnation;
                     });
}

}  // namespace

bool ReleaseTable::Record(const model::HostName& host,
                          std::uint64_t incarnation,
                          const model::Release& release) {
  model::Release& known = releases_[{host, incarnation}];
  if (release.epoch < known.epoch || release == known) return false;
  known = release;
  return true;
}

void ReleaseTable::RecordRelayed(const model::HostName& host,
                                 std::uint64_t incarnation,
                                 const model::Release& release) {
  if (release.epoch == 0) return;
  const auto found = releases_.find({host, incarnation});
  const bool epoch_known =
      found != releases_.end() && found->second.epoch >= release.epoch;
  // Of two Releases of the same epoch, the newer one names fewer held leaves. A
  // Release that names as many or more is ignored, since it would not let any
  // takeover complete earlier.
  const bool holds_fewer_leaves =
      epoch_known && found->second.epoch == release.epoch &&
      release.held_leaves.size() < found->second.held_leaves.size();
  if (!epoch_known || holds_fewer_leaves)
    releases_[{host, incarnation}] = release;
}

const model::Release* ReleaseTable::Find(const model::Member& member) const {
  const auto found = releases_.find({member.host, member.incarnation});
  return found == releases_.end() ? nullptr : &found->second;
}

bool ReleaseTable::ReachedEpoch(const model::Member& member,
                                std::uint64_t epoch) const {
  const model::Release* release = Find(member);
  return release != nullptr && release->epoch >= epoch;
}

bool ReleaseTable::Released(const model::Member& member, std::uint64_t epoch,
                            const model::LeafName& leaf) const {
  const model::Release* release = Find(member);
  if (release == nullptr || release->epoch != epoch) return false;
  const auto& held_leaves = release->held_leaves;
  return std::find(held_leaves.begin(), held_leaves.end(), leaf) ==
         held_leaves.end();
}

void ReleaseTable::Prune(const model::HeadRecord& record) {
  std::erase_if(releases_, [&](const auto& item) {
    const auto& [key, release] = item;
    return release.epoch <= record.epoch &&
           !NamesIncarnation(record, key.first, key.second);
  });
}

}  // namespace berylreach::membership
