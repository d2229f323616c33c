// Fencing of departed hosts.
#include "berylreach/membership/departed_fences.h"

#include <algorithm>

#include "berylreach/membership/constants.h"

namespace berylreach::membership {

void DepartedFences::Update(const model::HeadRecord& record,
                            const model::HostName& self, base::TimePoint now) {
  std::map<Key, base::TimePoint> kept;
  for (const model::Departed& entry : record.departed) {
    const Key key{entry.member.host, entry.epoch};
    const auto known = all_at_epoch_since_.find(key);
    if (known != all_at_epoch_since_.end()) {
      kept.insert(*known);
      continue;
    }
    const bool all_reached =
        std::all_of(record.members.begin(), record.members.end(),
                    [&](const model::Member& member) {
                      return member.host == self ||
                             releases_.ReachedEpoch(member, entry.epoch);
                    });
    if (all_reached) kept.emplace(key, now);
  }
  all_at_epoch_since_ = std::move(kept);
}

bool DepartedFences::Fenced(const model::Departed& entry,
                            const model::HeadRecord& record,
                            base::TimePoint now) const {
  if (SentRelease(entry) && releases_.Find(entry.member)->held.empty()) {
    return true;
  }
  return LeaseLapsed(entry, record, now);
}

bool DepartedFences::FencedFor(const model::LeafName& leaf,
                               const model::Departed& entry,
                               const model::HeadRecord& record,
                               base::TimePoint now) const {
  if (SentRelease(entry)) {
    const auto& held = releases_.Find(entry.member)->held;
    if (std::find(held.begin(), held.end(), leaf) == held.end()) return true;
  }
  return LeaseLapsed(entry, record, now);
}

bool DepartedFences::SentRelease(const model::Departed& entry) const {
  return releases_.ReachedEpoch(entry.member, entry.epoch);
}

bool DepartedFences::LeaseLapsed(const model::Departed& entry,
                                 const model::HeadRecord& record,
                                 base::TimePoint now) const {
  const auto since = all_at_epoch_since_.find({entry.member.host, entry.epoch});
  if (since == all_at_epoch_since_.end()) return false;
  if (now < since->second + kLeaseDuration + kClockMargin) return false;
  // Departed hosts that have not released may still be at an old epoch and
  // acknowledge each other's heartbeats.
  const auto possible_witnesses = std::count_if(
      record.departed.begin(), record.departed.end(),
      [&](const model::Departed& other) {
        return other.member != entry.member && !SentRelease(other);
      });
  return possible_witnesses < static_cast<std::ptrdiff_t>(entry.quorum);
}

}  // namespace berylreach::membership
