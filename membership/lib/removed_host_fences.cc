// Fencing of removed hosts.
#include "berylreach/membership/removed_host_fences.h"

#include <algorithm>
#include <functional>

#include "berylreach/membership/constants.h"

namespace berylreach::membership {

namespace {

using Key = std::pair<model::HostName, std::uint64_t>;
using Times = std::map<Key, base::TimePoint>;

Key KeyOf(const model::RemovedHost& entry) {
  return {entry.member.host, entry.epoch};
}

bool IsLaterIncarnation(const model::Member& other,
                        const model::RemovedHost& entry) {
  return other.host == entry.member.host &&
         other.incarnation != entry.member.incarnation;
}

// Whether a later incarnation of the host of `entry` has joined. It joins
// only after the process of the earlier incarnation has ended.
bool Replaced(const model::RemovedHost& entry,
              const model::HeadRecord& record) {
  const auto by_removed_host = [&](const model::RemovedHost& other) {
    return other.epoch > entry.epoch && IsLaterIncarnation(other.member, entry);
  };
  return std::any_of(record.members.begin(), record.members.end(),
                     [&](const model::Member& member) {
                       return IsLaterIncarnation(member, entry);
                     }) ||
         std::any_of(record.removed_hosts.begin(), record.removed_hosts.end(),
                     by_removed_host);
}

// Returns since when `holds` is known to be true for each removed host of
// `record`. A time that is already in `known` is kept.
Times UpdatedTimes(
    const Times& known, const model::HeadRecord& record, base::TimePoint now,
    const std::function<bool(const model::RemovedHost&)>& holds) {
  Times kept;
  for (const model::RemovedHost& entry : record.removed_hosts) {
    const auto found = known.find(KeyOf(entry));
    if (found != known.end()) {
      kept.insert(*found);
    } else if (holds(entry)) {
      kept.emplace(KeyOf(entry), now);
    }
  }
  return kept;
}

}  // namespace

void RemovedHostFences::Update(const model::HeadRecord& record,
                               const model::HostName& self,
                               base::TimePoint now) {
  const auto all_reached = [&](const model::RemovedHost& entry) {
    return std::all_of(record.members.begin(), record.members.end(),
                       [&](const model::Member& member) {
                         return member.host == self ||
                                releases_.ReachedEpoch(member, entry.epoch);
                       });
  };
  const auto ended = [&](const model::RemovedHost& entry) {
    return SentRelease(entry) || Replaced(entry, record);
  };
  all_at_epoch_since_ =
      UpdatedTimes(all_at_epoch_since_, record, now, all_reached);
  ended_since_ = UpdatedTimes(ended_since_, record, now, ended);
}

bool RemovedHostFences::Fenced(const model::RemovedHost& entry,
                               const model::HeadRecord& record,
                               base::TimePoint now) const {
  // With several removed hosts, another one may hold a lease by an
  // acknowledgement that this one gave just before its Release.
  if (record.removed_hosts.size() == 1 && SentEmptyRelease(entry)) return true;
  return LeaseExpired(entry, record, now);
}

bool RemovedHostFences::FencedFor(const model::LeafName& leaf,
                                  const model::RemovedHost& entry,
                                  const model::HeadRecord& record,
                                  base::TimePoint now) const {
  if (SentRelease(entry)) {
    const auto& held_leaves = releases_.Find(entry.member)->held_leaves;
    if (std::find(held_leaves.begin(), held_leaves.end(), leaf) ==
        held_leaves.end())
      return true;
  }
  return LeaseExpired(entry, record, now);
}

bool RemovedHostFences::SentRelease(const model::RemovedHost& entry) const {
  return releases_.ReachedEpoch(entry.member, entry.epoch);
}

bool RemovedHostFences::SentEmptyRelease(
    const model::RemovedHost& entry) const {
  return SentRelease(entry) &&
         releases_.Find(entry.member)->held_leaves.empty();
}

bool RemovedHostFences::OwnAndGrantedLeasesExpired(
    const model::RemovedHost& entry, base::TimePoint now) const {
  const auto since = ended_since_.find(KeyOf(entry));
  return since != ended_since_.end() &&
         now >= since->second + kLeaseDuration + kClockMargin;
}

bool RemovedHostFences::LeaseExpired(const model::RemovedHost& entry,
                                     const model::HeadRecord& record,
                                     base::TimePoint now) const {
  const bool ended = SentEmptyRelease(entry) || Replaced(entry, record);
  if (ended && OwnAndGrantedLeasesExpired(entry, now)) return true;
  const auto since = all_at_epoch_since_.find(KeyOf(entry));
  if (since == all_at_epoch_since_.end()) return false;
  if (now < since->second + kLeaseDuration + kClockMargin) return false;
  // Removed hosts that have neither released their leaves nor been replaced
  // may still be at an earlier epoch and acknowledge each other's heartbeats.
  const auto possible_witnesses =
      std::count_if(record.removed_hosts.begin(), record.removed_hosts.end(),
                    [&](const model::RemovedHost& other) {
                      return other.member != entry.member &&
                             !OwnAndGrantedLeasesExpired(other, now);
                    });
  return possible_witnesses < static_cast<std::ptrdiff_t>(entry.quorum);
}

}  // namespace berylreach::membership
