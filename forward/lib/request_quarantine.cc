// Evaluates lost calls as evidence that a request crashes leaves.
#include "berylreach/forward/request_quarantine.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace berylreach::forward {
namespace {

using model::SuspectEntry;
using model::SuspectState;
using quarantine::Grant;
using quarantine::TrustLevel;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Completed requests are not remembered: any request may run until a leaf
/// crashes while running it.
constexpr std::size_t kProvenCapacity = 0;

/// Number of leaves that must have crashed one after the other in one run to
/// show that the request crashes them.
constexpr std::size_t kFatalCrashes = 2;

/// Time within which a check of a leaf that is alive, or whose process has just
/// ended, usually has a result. Other hosts are not told of calls whose fate is
/// known by then.
constexpr milliseconds kCheckTime{100};

/// Interval between two checks of one leaf, and the number of leaves that are
/// checked at a time: two crashed leaves suffice to block a request, however
/// many it has crashed.
constexpr milliseconds kCheckInterval{500};
constexpr std::size_t kMaxLeavesToCheck = 8;

/// Time after a suspicion was lifted in which another host may not know that
/// yet. Without it, hosts would tell each other of the suspicion in circles.
constexpr milliseconds kLiftTime{1000};

/// Limits the size of an entry.
constexpr std::size_t kMaxNamedLeaves = 64;

/// Limits the memory for calls whose leaves do not answer.
constexpr std::size_t kMaxRunsWithLostCalls = 1024;

/// Returns the fate that an observation shows, and records in `answered_at` the
/// first answer after the loss. Later answers show nothing new.
LeafFate Observe(const LeafObservation& observation, const UnansweredCall& call,
                 std::optional<base::TimePoint>& answered_at) {
  const LeafFate fate = FateShownBy(observation, call);
  if (fate != LeafFate::kAnswers) return fate;
  if (answered_at) return LeafFate::kUnknown;
  answered_at = observation.at;
  return fate;
}

milliseconds TimeUntil(base::TimePoint end, base::TimePoint now) {
  return std::chrono::duration_cast<milliseconds>(
      std::max(end - now, base::Duration::zero()));
}

}  // namespace

RequestQuarantine::RequestQuarantine(const base::Clock& clock,
                                     milliseconds restart_listed_within)
    : clock_(clock),
      restart_listed_within_(restart_listed_within),
      quarantine_(clock, kProvenCapacity) {}

RunPermit RequestQuarantine::Admit(std::uint64_t fingerprint,
                                   base::TimePoint answer_deadline) {
  const TrustLevel trust_level = quarantine_.TrustLevelOf(fingerprint);
  if (trust_level == TrustLevel::kBlocked) return RunPermit::kBlocked;
  if (IsHeld(fingerprint)) return RunPermit::kHeld;
  if (trust_level != TrustLevel::kSuspect && !IsSuspected(fingerprint))
    return RunPermit::kUnrestricted;
  const Grant grant =
      quarantine_.TryStartExclusive(fingerprint, answer_deadline);
  return grant == Grant::kGranted ? RunPermit::kProbeFirst : RunPermit::kBusy;
}

void RequestQuarantine::OnNotRun(std::uint64_t fingerprint) {
  quarantine_.OnExclusiveEnded(fingerprint, /*outcome_known=*/true);
}

bool RequestQuarantine::MayRunForOthers(std::uint64_t fingerprint) const {
  const TrustLevel trust_level = quarantine_.TrustLevelOf(fingerprint);
  return (trust_level == TrustLevel::kUnproven ||
          trust_level == TrustLevel::kProven) &&
         !IsSuspected(fingerprint);
}

base::Duration RequestQuarantine::RefusedFor(std::uint64_t fingerprint) const {
  if (quarantine_.TrustLevelOf(fingerprint) == TrustLevel::kBlocked)
    return quarantine_.ExpiresIn(fingerprint);
  const auto found = suspicions_.find(fingerprint);
  return found == suspicions_.end()
             ? milliseconds(0)
             : TimeUntil(std::max(found->second.held_until,
                                  found->second.held_by_others_until),
                         clock_.Now());
}

void RequestQuarantine::OnCallLost(LostCall call) {
  if (runs_.size() >= kMaxRunsWithLostCalls && !runs_.contains(call.run))
    return;
  Run& run = runs_[call.run];
  run.fingerprint = call.fingerprint;
  const bool known = std::any_of(run.unresolved.begin(), run.unresolved.end(),
                                 [&call](const UnresolvedCall& unresolved) {
                                   return unresolved.call.leaf == call.leaf;
                                 });
  if (!known) run.unresolved.push_back({std::move(call), clock_.Now()});
}

void RequestQuarantine::OnCallsUnanswered(std::vector<LostCall> calls) {
  for (LostCall& call : calls) {
    const std::uint64_t id = call.run;
    OnCallLost(std::move(call));
    const auto run = runs_.find(id);
    if (run == runs_.end()) return;
    run->second.publish_at = clock_.Now();
    Suspect(run->second);
  }
}

template <typename FateOf>
void RequestQuarantine::ResolveCalls(FateOf fate_of, Actions& actions) {
  for (auto it = runs_.begin(); it != runs_.end();) {
    Run& run = it->second;
    const std::size_t resolved =
        std::erase_if(run.unresolved, [&](UnresolvedCall& unresolved) {
          const LeafFate fate = fate_of(unresolved);
          if (fate != LeafFate::kCrashed) return fate == LeafFate::kAlive;
          ++run.crashed_leaves;
          run.crashed_as_sole_call =
              run.crashed_as_sole_call || unresolved.call.sole_call;
          return true;
        });
    const bool done = resolved > 0 && Conclude(run, actions);
    it = done ? runs_.erase(it) : std::next(it);
  }
}

bool RequestQuarantine::OnLeafObserved(const LeafObservation& observation,
                                       Actions& actions) {
  bool shows_fate = false;
  ResolveCalls(
      [&](UnresolvedCall& unresolved) {
        const LostCall& call = unresolved.call;
        if (call.leaf != observation.leaf) return LeafFate::kUnknown;
        const LeafFate fate = Observe(observation,
                                      {.started_unix_ms = call.started_unix_ms,
                                       .lost_at = unresolved.lost_at},
                                      unresolved.answered_at);
        shows_fate = shows_fate || fate != LeafFate::kUnknown;
        return fate;
      },
      actions);
  return ResolveForOthers(observation, actions) || shows_fate;
}

bool RequestQuarantine::ResolveForOthers(const LeafObservation& observation,
                                         Actions& actions) {
  bool shows_fate = false;
  std::vector<std::uint64_t> crashed;
  std::vector<std::uint64_t> alive;
  for (auto& [fingerprint, suspicion] : suspicions_) {
    const LeafFate fate = ObserveForOthers(observation, suspicion);
    shows_fate = shows_fate || fate != LeafFate::kUnknown;
    if (fate == LeafFate::kCrashed) crashed.push_back(fingerprint);
    // The life of one leaf shows nothing about the others.
    if (fate == LeafFate::kAlive && suspicion.leaves_of_others.empty())
      alive.push_back(fingerprint);
  }
  for (const std::uint64_t fingerprint : crashed) {
    suspicions_.erase(fingerprint);
    // The call to this leaf was sent alone, after another one had been lost.
    quarantine_.OnSecondCrash(fingerprint, actions);
  }
  for (const std::uint64_t fingerprint : alive)
    LiftSuspicion(fingerprint, /*completed=*/false, actions);
  return shows_fate;
}

LeafFate RequestQuarantine::ObserveForOthers(const LeafObservation& observation,
                                             Suspicion& suspicion) {
  auto& leaves = suspicion.leaves_of_others;
  const auto checked =
      std::find_if(leaves.begin(), leaves.end(), [&](const CheckedLeaf& each) {
        return each.leaf.id == observation.leaf;
      });
  if (checked == leaves.end()) return LeafFate::kUnknown;
  const LeafFate fate =
      Observe(observation,
              {.started_unix_ms = checked->leaf.started_unix_ms,
               .lost_at = suspicion.learned_at},
              checked->answered_at);
  if (fate == LeafFate::kAlive) leaves.erase(checked);
  return fate;
}

void RequestQuarantine::ResolveAlive(Actions& actions) {
  const base::TimePoint now = clock_.Now();
  // The fate of leaves that show nothing in time stays unknown. Leaves that do
  // not answer for other reasons than a crash are the usual case.
  ResolveCalls(
      [this, now](const UnresolvedCall& unresolved) {
        return now >= unresolved.lost_at + kEvidenceWait ||
                       IsAlive(unresolved.answered_at)
                   ? LeafFate::kAlive
                   : LeafFate::kUnknown;
      },
      actions);
}

void RequestQuarantine::ResolveAliveForOthers(Actions& actions) {
  std::vector<std::uint64_t> alive;
  for (auto& [fingerprint, suspicion] : suspicions_) {
    const std::size_t ended = std::erase_if(
        suspicion.leaves_of_others, [this](const CheckedLeaf& checked) {
          return IsAlive(checked.answered_at);
        });
    if (ended > 0 && suspicion.leaves_of_others.empty())
      alive.push_back(fingerprint);
  }
  for (const std::uint64_t fingerprint : alive)
    LiftSuspicion(fingerprint, /*completed=*/false, actions);
}

void RequestQuarantine::OnLeafListed(const std::string& leaf,
                                     const std::string& address,
                                     Actions& actions) {
  ResolveCalls(
      [&](const UnresolvedCall& unresolved) {
        const bool replaced =
            unresolved.call.address == address && unresolved.call.leaf != leaf;
        return replaced ? LeafFate::kCrashed : LeafFate::kUnknown;
      },
      actions);
}

bool RequestQuarantine::Conclude(Run& run, Actions& actions) {
  const std::uint64_t fingerprint = run.fingerprint;
  const bool suspect =
      quarantine_.TrustLevelOf(fingerprint) == TrustLevel::kSuspect ||
      (run.probed_first && IsSuspected(fingerprint));
  if (run.crashed_as_sole_call &&
      (suspect || run.crashed_leaves >= kFatalCrashes)) {
    quarantine_.OnSecondCrash(fingerprint, actions);
  } else if (run.finished && run.crashed_leaves > 0) {
    quarantine_.OnLeafCrash({{.fingerprint = fingerprint}}, actions);
  }
  if (!run.finished || !run.unresolved.empty()) return false;
  if (run.probed_first)
    quarantine_.OnExclusiveEnded(fingerprint, /*outcome_known=*/true);
  if (HasUnresolvedCalls(fingerprint)) return true;
  if (run.crashed_leaves == 0) {
    LiftSuspicion(fingerprint, /*completed=*/false, actions);
  } else {
    EndOwnSuspicion(fingerprint);
  }
  return true;
}

void RequestQuarantine::EndOwnSuspicion(std::uint64_t fingerprint) {
  // What has been proven takes its place. It shows nothing about the leaves of
  // other hosts.
  if (IsHeldByOthers(fingerprint)) {
    suspicions_.at(fingerprint).held_until = {};
  } else {
    suspicions_.erase(fingerprint);
  }
}

void RequestQuarantine::OnRunEnded(const EndedRun& ended, Actions& actions) {
  if (ended.probed_first && ended.completed)
    quarantine_.OnCompletedExclusive(ended.fingerprint, actions);
  if (ended.completed) {
    // Among them those of this run.
    ForgetLostCalls(ended.fingerprint);
    LiftSuspicion(ended.fingerprint, /*completed=*/true, actions);
  }
  const auto found = runs_.find(ended.run);
  const bool outcome_known =
      found == runs_.end() || found->second.unresolved.empty();
  if (ended.probed_first && outcome_known)
    quarantine_.OnExclusiveEnded(ended.fingerprint, /*outcome_known=*/true);
  if (found == runs_.end()) return;
  Run& run = found->second;
  run.finished = true;
  run.probed_first = ended.probed_first;
  if (Conclude(run, actions)) {
    runs_.erase(found);
    return;
  }
  run.publish_at = clock_.Now() + kCheckTime;
  Suspect(run);
}

void RequestQuarantine::OnProcessPaused() {
  for (auto& [id, run] : runs_) run.unresolved.clear();
  std::erase_if(runs_, [](const auto& item) { return item.second.finished; });
  std::erase_if(suspicions_,
                [](const auto& item) { return !item.second.shared; });
}

std::vector<std::string> RequestQuarantine::LeavesToCheck() {
  const base::TimePoint now = clock_.Now();
  std::vector<std::string> leaves;
  const auto add = [&](const std::string& leaf) {
    base::TimePoint& next_check = next_checks_[leaf];
    if (now < next_check || leaves.size() == kMaxLeavesToCheck) return;
    next_check = now + kCheckInterval;
    leaves.push_back(leaf);
  };
  for (const auto& [fingerprint, suspicion] : suspicions_)
    for (const CheckedLeaf& checked : suspicion.leaves_of_others)
      if (!checked.answered_at) add(checked.leaf.id);
  for (const auto& [id, run] : runs_) {
    // Another call of a run that goes on may still complete, so that its lost
    // calls need no explanation.
    if (!run.publish_at) continue;
    for (const UnresolvedCall& unresolved : run.unresolved)
      if (!unresolved.answered_at) add(unresolved.call.leaf);
  }
  return leaves;
}

bool RequestQuarantine::Merge(const SuspectEntry& entry, bool checks_leaves) {
  if (entry.crashes == 0) return MergeSuspicion(entry, checks_leaves);
  return quarantine_.Merge({{entry}});
}

bool RequestQuarantine::MergeSuspicion(const SuspectEntry& entry,
                                       bool checks_leaves) {
  const base::TimePoint now = clock_.Now();
  if (entry.state == SuspectState::kCleared) {
    lifted_[entry.fingerprint] = {.until = now + kLiftTime};
    const bool explains_calls =
        entry.completed && ForgetLostCalls(entry.fingerprint);
    return suspicions_.erase(entry.fingerprint) > 0 || explains_calls;
  }
  const auto lifted = lifted_.find(entry.fingerprint);
  if (lifted != lifted_.end() && now < lifted->second.until) {
    lifted->second.reports_completion = true;
    return false;
  }
  // Limits what a faulty sender can cause.
  const auto end = [now](milliseconds span) {
    return now + std::min<base::Duration>(span, kEvidenceWait);
  };
  const bool adds_suspicion = !IsSuspected(entry.fingerprint);
  const bool adds_hold =
      entry.hold_for.count() > 0 && !IsHeld(entry.fingerprint);
  Suspicion& suspicion = suspicions_[entry.fingerprint];
  suspicion.until = std::max(suspicion.until, end(entry.expires_in));
  // Entries come back to the host that has sent them.
  if (!WaitsForLeavesOf(entry))
    suspicion.held_by_others_until =
        std::max(suspicion.held_by_others_until, end(entry.hold_for));
  suspicion.shared = true;
  if (adds_hold && checks_leaves) {
    suspicion.leaves_of_others.clear();
    for (const model::UnansweredLeaf& leaf : entry.unanswered_leaves)
      suspicion.leaves_of_others.push_back({.leaf = leaf});
    suspicion.learned_at = now;
  }
  return adds_suspicion || adds_hold;
}

bool RequestQuarantine::WaitsForLeavesOf(const SuspectEntry& entry) const {
  const auto waits_for = [&](const model::UnansweredLeaf& leaf) {
    return std::any_of(runs_.begin(), runs_.end(), [&](const auto& item) {
      const Run& run = item.second;
      return run.fingerprint == entry.fingerprint &&
             std::any_of(run.unresolved.begin(), run.unresolved.end(),
                         [&leaf](const UnresolvedCall& unresolved) {
                           return unresolved.call.sole_call &&
                                  unresolved.call.leaf == leaf.id;
                         });
    });
  };
  return !entry.unanswered_leaves.empty() &&
         std::all_of(entry.unanswered_leaves.begin(),
                     entry.unanswered_leaves.end(), waits_for);
}

void RequestQuarantine::Suspect(const Run& run) {
  const base::TimePoint now = clock_.Now();
  Suspicion& suspicion = suspicions_[run.fingerprint];
  suspicion.until = now + kEvidenceWait;
  for (const UnresolvedCall& unresolved : run.unresolved)
    if (unresolved.call.sole_call) suspicion.held_until = now + kEvidenceWait;
}

bool RequestQuarantine::ForgetLostCalls(std::uint64_t fingerprint) {
  return std::erase_if(runs_, [&](const auto& item) {
           const Run& run = item.second;
           if (run.fingerprint != fingerprint) return false;
           if (run.finished && run.probed_first)
             quarantine_.OnExclusiveEnded(fingerprint, /*outcome_known=*/true);
           return true;
         }) > 0;
}

void RequestQuarantine::LiftSuspicion(std::uint64_t fingerprint, bool completed,
                                      Actions& actions) {
  const auto suspicion = suspicions_.find(fingerprint);
  const auto lifted = lifted_.find(fingerprint);
  const bool others_suspect =
      (suspicion != suspicions_.end() && suspicion->second.shared) ||
      (completed && lifted != lifted_.end() &&
       lifted->second.reports_completion);
  suspicions_.erase(fingerprint);
  if (!others_suspect) return;
  lifted_[fingerprint] = {.until = clock_.Now() + kLiftTime};
  actions.push_back(quarantine::PublishSuspects{
      {{{.fingerprint = fingerprint,
         .state = SuspectState::kCleared,
         .expires_in = std::chrono::duration_cast<milliseconds>(
             base::Duration(kEvidenceWait)),
         .completed = completed}}}});
}

bool RequestQuarantine::IsSuspected(std::uint64_t fingerprint) const {
  const auto found = suspicions_.find(fingerprint);
  return found != suspicions_.end() && clock_.Now() < found->second.until;
}

bool RequestQuarantine::IsHeld(std::uint64_t fingerprint) const {
  const auto found = suspicions_.find(fingerprint);
  return IsHeldByOthers(fingerprint) ||
         (found != suspicions_.end() &&
          clock_.Now() < found->second.held_until);
}

bool RequestQuarantine::IsHeldByOthers(std::uint64_t fingerprint) const {
  const auto found = suspicions_.find(fingerprint);
  return found != suspicions_.end() &&
         clock_.Now() < found->second.held_by_others_until;
}

bool RequestQuarantine::HasUnresolvedCalls(std::uint64_t fingerprint) const {
  return std::any_of(runs_.begin(), runs_.end(), [&](const auto& item) {
    return item.second.fingerprint == fingerprint &&
           !item.second.unresolved.empty();
  });
}

void RequestQuarantine::PublishSuspicion(std::uint64_t fingerprint,
                                         Actions& actions) {
  const auto found = suspicions_.find(fingerprint);
  if (found == suspicions_.end()) return;
  Suspicion& suspicion = found->second;
  suspicion.shared = true;
  const base::TimePoint now = clock_.Now();
  SuspectEntry entry{.fingerprint = fingerprint,
                     .state = SuspectState::kSuspect,
                     .expires_in = TimeUntil(suspicion.until, now),
                     .hold_for = TimeUntil(suspicion.held_until, now)};
  for (const auto& [id, run] : runs_)
    if (run.fingerprint == fingerprint) AddUnresolvedLeaves(run, entry);
  actions.push_back(quarantine::PublishSuspects{{{std::move(entry)}}});
}

void RequestQuarantine::AddUnresolvedLeaves(const Run& run,
                                            SuspectEntry& entry) {
  for (const UnresolvedCall& unresolved : run.unresolved) {
    const LostCall& call = unresolved.call;
    if (call.sole_call && entry.unanswered_leaves.size() < kMaxNamedLeaves)
      entry.unanswered_leaves.push_back(
          {.id = call.leaf, .started_unix_ms = call.started_unix_ms});
    if (!call.sole_call && entry.doubtful_leaves.size() < kMaxNamedLeaves)
      entry.doubtful_leaves.push_back(call.leaf);
  }
}

void RequestQuarantine::Tick(Actions& actions) {
  quarantine_.Tick();
  const base::TimePoint now = clock_.Now();
  ResolveAlive(actions);
  ResolveAliveForOthers(actions);
  for (auto& [id, run] : runs_) {
    if (run.unresolved.empty() || !run.publish_at || now < *run.publish_at)
      continue;
    run.publish_at = base::TimePoint::max();
    PublishSuspicion(run.fingerprint, actions);
  }
  std::erase_if(suspicions_,
                [now](const auto& item) { return item.second.until <= now; });
  std::erase_if(lifted_, [now](const auto& item) {
    const Lifted& lifted = item.second;
    return now >= lifted.until +
                      (lifted.reports_completion ? kEvidenceWait : seconds(0));
  });
  std::erase_if(next_checks_,
                [now](const auto& item) { return item.second <= now; });
}

}  // namespace berylreach::forward
