// Merging of leaf states, the host list and evidence from replies.
#include "berylreach/routing/leaf_table.h"

#include <algorithm>
#include <utility>

#include "berylreach/routing/leaf_state_digest.h"

namespace berylreach::routing {
namespace {

using EpochAndSequence = std::pair<std::uint64_t, std::uint64_t>;

EpochAndSequence EpochAndSequenceOf(const model::LeafState& state) {
  return {state.epoch, state.sequence};
}

bool HealthAcceptsWork(model::LeafHealth health) {
  return health == model::LeafHealth::kUsable ||
         health == model::LeafHealth::kCold;
}

}  // namespace

bool LeafTable::Merge(const model::LeafState& state) {
  Entry& entry = entries_[state.leaf];
  if (entry.state &&
      EpochAndSequenceOf(*entry.state) >= EpochAndSequenceOf(state))
    return false;
  RemoveFromDigest(entry);
  digests_[state.owner] += DigestOf(state);
  entry.state = state;
  entry.refusing_until = {};
  entry.gone_until.clear();
  ++revision_;
  return true;
}

bool LeafTable::ApplyHostList(const model::HostList& list) {
  if (list.index < host_list_index_) return false;
  host_list_index_ = list.index;
  leaving_.clear();
  for (const model::HostListEntry& entry : list.entries) {
    if (entry.leaving) leaving_.insert(model::LeafName{entry.node});
  }
  ++revision_;
  return true;
}

void LeafTable::Retain(const model::Environment& environment) {
  std::unordered_set<model::LeafName> named;
  for (const model::Service& service : environment.services) {
    for (const model::Leaf& leaf : service.leaves) named.insert(leaf.name);
  }
  std::erase_if(entries_, [&](const auto& entry) {
    if (named.contains(entry.first)) return false;
    RemoveFromDigest(entry.second);
    return true;
  });
  ++revision_;
}

const LeafTable::Entry* LeafTable::Find(const model::LeafName& leaf) const {
  const auto found = entries_.find(leaf);
  return found == entries_.end() ? nullptr : &found->second;
}

const model::LeafState* LeafTable::State(const model::LeafName& leaf) const {
  const Entry* entry = Find(leaf);
  return entry != nullptr && entry->state ? &*entry->state : nullptr;
}

std::uint64_t LeafTable::StatesDigest(const model::HostName& owner) const {
  const auto found = digests_.find(owner);
  return found == digests_.end() ? 0 : found->second;
}

void LeafTable::RemoveFromDigest(const Entry& entry) {
  if (!entry.state) return;
  const auto found = digests_.find(entry.state->owner);
  found->second -= DigestOf(*entry.state);
  // A digest of 0 stands for no states. It is removed, because otherwise the
  // digests of hosts that have left would be kept forever.
  if (found->second == 0) digests_.erase(found);
}

std::vector<model::LeafState> LeafTable::States() const {
  std::vector<model::LeafState> states;
  for (const auto& [leaf, entry] : entries_) {
    if (entry.state) states.push_back(*entry.state);
  }
  std::sort(states.begin(), states.end(),
            [](const auto& a, const auto& b) { return a.leaf < b.leaf; });
  return states;
}

bool LeafTable::AcceptsWork(const model::LeafName& leaf) const {
  const Entry* entry = Find(leaf);
  if (entry == nullptr || !entry->state) return false;
  if (!HealthAcceptsWork(entry->state->health)) return false;
  if (leaving_.contains(leaf)) return false;
  return entry->refusing_until <= clock_.Now();
}

bool LeafTable::VersionGone(const model::LeafName& leaf,
                            std::uint64_t version) const {
  const Entry* entry = Find(leaf);
  if (entry == nullptr) return false;
  const auto found = entry->gone_until.find(version);
  return found != entry->gone_until.end() && found->second > clock_.Now();
}

std::optional<base::TimePoint> LeafTable::NextEvidenceExpiry() const {
  std::optional<base::TimePoint> next;
  const auto consider = [&](base::TimePoint at) {
    if (at > clock_.Now() && (!next || at < *next)) next = at;
  };
  for (const auto& [leaf, entry] : entries_) {
    consider(entry.refusing_until);
    for (const auto& [version, until] : entry.gone_until) consider(until);
  }
  return next;
}

void LeafTable::OnCallSent(const model::LeafName& leaf) {
  ++entries_[leaf].observation.outstanding;
}

void LeafTable::OnCallEnded(const model::LeafName& leaf) {
  const auto found = entries_.find(leaf);
  // Retain may have removed the leaf while its calls were in flight.
  if (found == entries_.end()) return;
  std::uint32_t& outstanding = found->second.observation.outstanding;
  if (outstanding > 0) --outstanding;
}

void LeafTable::OnReply(const model::LeafReply& reply, std::uint64_t version,
                        base::Duration latency) {
  const auto found = entries_.find(reply.leaf);
  if (found == entries_.end()) return;
  LeafObservation& observation = found->second.observation;
  observation.reported_load = reply.load;
  observation.load_reported_at = clock_.Now();
  if (reply.outcome == model::LeafOutcome::kOk) {
    // With a weight of 1/8, the average follows a change within about ten
    // answers, and a single straggler does not determine the choice of leaves.
    observation.recent_latency =
        observation.recent_latency == base::Duration::zero()
            ? latency
            : (observation.recent_latency * 7 + latency) / 8;
  }
  RecordEvidence(found->second, reply, version);
}

void LeafTable::RecordEvidence(Entry& entry, const model::LeafReply& reply,
                               std::uint64_t version) {
  const base::TimePoint until = clock_.Now() + kEvidenceLifetime;
  switch (reply.outcome) {
    case model::LeafOutcome::kDraining:
    case model::LeafOutcome::kLeafCrashed:
      entry.refusing_until = until;
      ++revision_;
      return;
    case model::LeafOutcome::kVersionGone:
      entry.gone_until[version] = until;
      ++revision_;
      return;
    default:
      return;
  }
}

LeafObservation LeafTable::Observation(const model::LeafName& leaf) const {
  const Entry* entry = Find(leaf);
  return entry == nullptr ? LeafObservation{} : entry->observation;
}

std::uint32_t LeafTable::PendingWork(const model::LeafName& leaf) const {
  const Entry* entry = Find(leaf);
  if (entry == nullptr) return 0;
  const LeafObservation& observation = entry->observation;
  const bool fresh =
      clock_.Now() - observation.load_reported_at < kLoadReportLifetime;
  return std::max(observation.outstanding,
                  fresh ? observation.reported_load : 0);
}

}  // namespace berylreach::routing
