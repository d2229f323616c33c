// Takeover of leaves that this host has gained.
#include "berylreach/membership/takeover_tracker.h"

#include <algorithm>
#include <utility>

namespace berylreach::membership {

void TakeoverTracker::SetOwned(std::uint64_t epoch,
                               const std::vector<model::LeafName>& leaves) {
  std::set<model::LeafName> complete;
  std::set<model::LeafName> waiting;
  for (const model::LeafName& leaf : leaves) {
    (complete_.contains(leaf) ? complete : waiting).insert(leaf);
  }
  owned_epoch_ = epoch;
  complete_ = std::move(complete);
  waiting_ = std::move(waiting);
}

void TakeoverTracker::Clear() {
  owned_epoch_ = 0;
  complete_.clear();
  waiting_.clear();
}

std::vector<model::LeafName> TakeoverTracker::Advance(
    const model::HeadRecord& record, base::TimePoint now) {
  std::vector<model::LeafName> done;
  if (owned_epoch_ != record.epoch) return done;
  for (const model::LeafName& leaf : waiting_) {
    if (CanTakeOver(leaf, record, now)) done.push_back(leaf);
  }
  for (const model::LeafName& leaf : done) {
    waiting_.erase(leaf);
    complete_.insert(leaf);
  }
  return done;
}

bool TakeoverTracker::IsComplete(std::uint64_t epoch,
                                 const model::LeafName& leaf) const {
  return owned_epoch_ == epoch && complete_.contains(leaf);
}

bool TakeoverTracker::CanTakeOver(const model::LeafName& leaf,
                                  const model::HeadRecord& record,
                                  base::TimePoint now) const {
  // A Release for a later epoch does not count, since its sender may own the
  // leaf at that epoch and work on it.
  const bool released =
      std::all_of(record.members.begin(), record.members.end(),
                  [&](const model::Member& member) {
                    return member.host == self_ ||
                           releases_.Released(member, record.epoch, leaf);
                  });
  return released &&
         std::all_of(record.removed_hosts.begin(), record.removed_hosts.end(),
                     [&](const model::RemovedHost& removed) {
                       return fences_.FencedFor(leaf, removed, record, now);
                     });
}

}  // namespace berylreach::membership
