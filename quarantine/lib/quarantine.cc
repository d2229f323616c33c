// Trust levels of fingerprints and grants of suspect runs.
#include "berylreach/quarantine/quarantine.h"

#include <algorithm>
#include <string>
#include <utility>

#include "berylreach/base/hash.h"

namespace berylreach::quarantine {
namespace {

using model::SuspectState;

// Number of crashed canary leaves that block a request; also the minimum crash
// count with which a block is published.
constexpr std::uint32_t kFatalCrashes = 2;

}  // namespace

bool Quarantine::Entry::IsBlocked() const {
  return state == SuspectState::kBlocked ||
         (state == SuspectState::kSuspect &&
          canary_leaves.size() >= kFatalCrashes);
}

const Quarantine::Entry* Quarantine::Find(std::uint64_t fingerprint) const {
  const auto found = entries_.find(fingerprint);
  if (found == entries_.end()) return nullptr;
  return found->second.expires > clock_.Now() ? &found->second : nullptr;
}

TrustLevel Quarantine::TrustLevelOf(std::uint64_t fingerprint) const {
  if (const Entry* entry = Find(fingerprint)) {
    if (entry->IsBlocked()) return TrustLevel::kBlocked;
    switch (entry->state) {
      case SuspectState::kSuspect:
        return TrustLevel::kSuspect;
      case SuspectState::kBlocked:
        return TrustLevel::kBlocked;
      case SuspectState::kCleared:
        return TrustLevel::kProven;
    }
  }
  return proven_.Contains(fingerprint) ? TrustLevel::kProven
                                       : TrustLevel::kUnproven;
}

base::Duration Quarantine::ExpiresIn(std::uint64_t fingerprint) const {
  const Entry* entry = Find(fingerprint);
  return entry == nullptr ? base::Duration::zero()
                          : entry->expires - clock_.Now();
}

void Quarantine::SetAndPublish(std::uint64_t fingerprint, Entry entry,
                               std::vector<Action>& out) {
  entry.expires = clock_.Now() + kEntryLifetime;
  out.push_back(PublishSuspects{{{ToModel(fingerprint, entry)}}});
  Set(fingerprint, std::move(entry));
}

void Quarantine::Set(std::uint64_t fingerprint, Entry entry) {
  entry.learned_at = clock_.Now();
  if (entry.state != SuspectState::kCleared) proven_.Erase(fingerprint);
  entries_[fingerprint] = std::move(entry);
  ++revision_;
}

bool Quarantine::AddLeaves(Entry& entry,
                           const std::vector<std::uint64_t>& leaves) {
  auto merged = entry.canary_leaves;
  merged.insert(merged.end(), leaves.begin(), leaves.end());
  std::sort(merged.begin(), merged.end());
  merged.erase(std::unique(merged.begin(), merged.end()), merged.end());
  // Truncates the sorted list, so that all hosts get the same entry whatever
  // the order of the reports.
  if (merged.size() > kFatalCrashes) merged.resize(kFatalCrashes);
  if (merged == entry.canary_leaves) return false;
  entry.canary_leaves = std::move(merged);
  ++revision_;
  return true;
}

void Quarantine::OnCompleted(std::uint64_t fingerprint) {
  const Entry* entry = Find(fingerprint);
  if (entry != nullptr && entry->state != SuspectState::kCleared) return;
  proven_.Insert(fingerprint);
}

void Quarantine::OnCompletedExclusive(std::uint64_t fingerprint,
                                      std::vector<Action>& out) {
  const Entry* entry = Find(fingerprint);
  // A block stays in force: a crash proves more than a completion that came
  // before it.
  if (entry != nullptr && entry->IsBlocked()) return;
  proven_.Insert(fingerprint);
  if (entry == nullptr || entry->state == SuspectState::kCleared) return;
  SetAndPublish(fingerprint, {SuspectState::kCleared, entry->crashes}, out);
}

void Quarantine::OnLeafCrash(const std::vector<RunningCall>& running,
                             std::vector<Action>& out) {
  for (const RunningCall& call : running) {
    const Entry* entry = Find(call.fingerprint);
    const std::uint32_t crashes = entry == nullptr ? 0 : entry->crashes;
    if (entry != nullptr && entry->IsBlocked()) continue;
    if (call.exclusive) {
      SetAndPublish(
          call.fingerprint,
          {SuspectState::kBlocked, std::max(crashes + 1, kFatalCrashes)}, out);
      continue;
    }
    std::vector<std::uint64_t> leaves;
    if (call.canary_leaf != 0) leaves.push_back(call.canary_leaf);
    if (entry == nullptr || entry->state != SuspectState::kSuspect) {
      SetAndPublish(
          call.fingerprint,
          {SuspectState::kSuspect, crashes + 1, {}, {}, std::move(leaves)},
          out);
      continue;
    }
    // A second report of the same crash, or a crash without new canary leaves,
    // adds no evidence and changes nothing.
    Entry& known = entries_.at(call.fingerprint);
    if (!AddLeaves(known, leaves)) continue;
    out.push_back(PublishSuspects{{{ToModel(call.fingerprint, known)}}});
  }
}

void Quarantine::OnSuspectReportedByOwner(std::uint64_t fingerprint) {
  if (Find(fingerprint) != nullptr) return;
  Set(fingerprint, {SuspectState::kSuspect, 1, clock_.Now() + kEntryLifetime});
}

base::Duration Quarantine::CanaryHoldOff(std::uint64_t fingerprint) const {
  const Entry* entry = Find(fingerprint);
  if (entry == nullptr || entry->state != SuspectState::kSuspect ||
      entry->IsBlocked()) {
    return base::Duration::zero();
  }
  return std::max<base::Duration>(
      entry->learned_at + kPropagationTime - clock_.Now(),
      base::Duration::zero());
}

void Quarantine::OnSecondCrash(std::uint64_t fingerprint,
                               std::vector<Action>& out) {
  const Entry* entry = Find(fingerprint);
  if (entry != nullptr && entry->IsBlocked()) return;
  const std::uint32_t crashes = entry == nullptr ? 0 : entry->crashes;
  SetAndPublish(fingerprint,
                {SuspectState::kBlocked, std::max(crashes, kFatalCrashes)},
                out);
}

bool Quarantine::Merge(const model::SuspectUpdate& update) {
  bool changed = false;
  for (const model::SuspectEntry& entry : update.entries) {
    changed = MergeEntry(entry) || changed;
  }
  return changed;
}

bool Quarantine::MergeEntry(const model::SuspectEntry& incoming) {
  // Limits the lifetime, so that a faulty sender cannot make an entry
  // permanent.
  const base::TimePoint expires =
      clock_.Now() +
      std::min<base::Duration>(incoming.expires_in, kEntryLifetime);
  const auto found = entries_.find(incoming.fingerprint);
  const bool known = Find(incoming.fingerprint) != nullptr;
  if (!known && incoming.expires_in < kMinMergeLifetime) return false;
  if (known) {
    Entry& entry = found->second;
    const auto current_rank = std::pair(entry.crashes, entry.state);
    const auto incoming_rank = std::pair(incoming.crashes, incoming.state);
    if (incoming_rank < current_rank) return false;
    if (incoming_rank == current_rank) {
      entry.expires = std::max(entry.expires, expires);
      return entry.state == SuspectState::kSuspect &&
             AddLeaves(entry, incoming.canary_leaves);
    }
  }
  Entry entry{incoming.state, incoming.crashes, expires};
  if (entry.state == SuspectState::kSuspect) {
    AddLeaves(entry, incoming.canary_leaves);
  }
  Set(incoming.fingerprint, std::move(entry));
  return true;
}

model::SuspectEntry Quarantine::ToModel(std::uint64_t fingerprint,
                                        const Entry& entry) const {
  model::SuspectEntry result;
  result.fingerprint = fingerprint;
  result.state = entry.state;
  result.crashes = entry.crashes;
  result.expires_in = std::chrono::duration_cast<std::chrono::milliseconds>(
      entry.expires - clock_.Now());
  result.canary_leaves = entry.canary_leaves;
  return result;
}

model::SuspectUpdate Quarantine::Entries() const {
  model::SuspectUpdate update;
  for (const auto& [fingerprint, entry] : entries_) {
    if (Find(fingerprint) == nullptr) continue;
    update.entries.push_back(ToModel(fingerprint, entry));
  }
  return update;
}

std::uint64_t Quarantine::Digest() const {
  std::string text;
  for (const auto& [fingerprint, entry] : entries_) {
    // Entries that are about to expire are not merged by other hosts, so they
    // are left out of the digest.
    if (entry.expires - clock_.Now() < kMinMergeLifetime) continue;
    text += std::to_string(fingerprint) + ':' + std::to_string(entry.crashes) +
            ':' + std::to_string(static_cast<int>(entry.state));
    for (const std::uint64_t leaf : entry.canary_leaves)
      text += ':' + std::to_string(leaf);
    text += ';';
  }
  return base::Hash64(text);
}

Grant Quarantine::TryStartExclusive(std::uint64_t fingerprint,
                                    base::TimePoint until) {
  if (TrustLevelOf(fingerprint) == TrustLevel::kBlocked) return Grant::kBlocked;
  if (clock_.Now() < no_grants_before_) return Grant::kBusy;
  const auto [place, added] = grants_.try_emplace(fingerprint, until);
  if (!added && place->second > clock_.Now()) return Grant::kBusy;
  place->second = until;
  return Grant::kGranted;
}

void Quarantine::OnExclusiveEnded(std::uint64_t fingerprint,
                                  bool outcome_known) {
  const auto found = grants_.find(fingerprint);
  if (found == grants_.end()) return;
  if (outcome_known) {
    grants_.erase(found);
    return;
  }
  found->second = clock_.Now() + kUnknownOutcomeHoldOff;
}

void Quarantine::OnMembersChanged() {
  no_grants_before_ = clock_.Now() + kArbiterHoldOff;
}

void Quarantine::Tick() {
  const base::TimePoint now = clock_.Now();
  std::erase_if(entries_,
                [&](const auto& item) { return item.second.expires <= now; });
  std::erase_if(grants_, [&](const auto& item) { return item.second <= now; });
}

std::optional<base::TimePoint> Quarantine::NextWakeup() const {
  std::optional<base::TimePoint> next;
  const auto consider = [&](base::TimePoint at) {
    if (!next || at < *next) next = at;
  };
  for (const auto& [fingerprint, entry] : entries_) consider(entry.expires);
  for (const auto& [fingerprint, until] : grants_) consider(until);
  return next;
}

}  // namespace berylreach::quarantine
