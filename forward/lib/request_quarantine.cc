// Evaluates lost calls as evidence that a request crashes leaves.
#include "berylreach/forward/request_quarantine.h"

#include <iterator>
#include <utility>

namespace berylreach::forward {
namespace {

using quarantine::Grant;
using quarantine::TrustLevel;

/// Completed requests are not remembered: any request may run until a leaf
/// crashes while running it.
constexpr std::size_t kProvenCapacity = 0;

/// Number of leaves that must have crashed one after the other in one run to
/// show that the request crashes them.
constexpr std::size_t kFatalCrashes = 2;

}  // namespace

RequestQuarantine::RequestQuarantine(const base::Clock& clock)
    : quarantine_(clock, kProvenCapacity) {}

RunPermit RequestQuarantine::Admit(std::uint64_t fingerprint,
                                   base::TimePoint answer_deadline) {
  switch (quarantine_.TrustLevelOf(fingerprint)) {
    case TrustLevel::kUnproven:
    case TrustLevel::kProven:
      return RunPermit::kUnrestricted;
    case TrustLevel::kBlocked:
      return RunPermit::kBlocked;
    case TrustLevel::kSuspect:
      break;
  }
  const Grant grant =
      quarantine_.TryStartExclusive(fingerprint, answer_deadline);
  return grant == Grant::kGranted ? RunPermit::kProbeFirst : RunPermit::kBusy;
}

void RequestQuarantine::OnNotRun(std::uint64_t fingerprint) {
  quarantine_.OnExclusiveEnded(fingerprint, /*outcome_known=*/true);
}

bool RequestQuarantine::MayRunForOthers(std::uint64_t fingerprint) const {
  const TrustLevel trust_level = quarantine_.TrustLevelOf(fingerprint);
  return trust_level == TrustLevel::kUnproven ||
         trust_level == TrustLevel::kProven;
}

base::Duration RequestQuarantine::BlockedFor(std::uint64_t fingerprint) const {
  return quarantine_.ExpiresIn(fingerprint);
}

void RequestQuarantine::OnCallLost(LostCall call) {
  Run& run = runs_[call.run];
  run.fingerprint = call.fingerprint;
  run.unchecked.push_back(std::move(call));
}

void RequestQuarantine::OnLeafChecked(const std::string& leaf, bool crashed,
                                      Actions& actions) {
  for (auto it = runs_.begin(); it != runs_.end();) {
    Run& run = it->second;
    const std::size_t checked =
        std::erase_if(run.unchecked, [&](const LostCall& call) {
          if (call.leaf != leaf) return false;
          if (crashed) {
            ++run.crashed_leaves;
            run.crashed_as_sole_call =
                run.crashed_as_sole_call || call.sole_call;
          }
          return true;
        });
    const bool done = checked > 0 && Conclude(run, actions);
    it = done ? runs_.erase(it) : std::next(it);
  }
}

bool RequestQuarantine::Conclude(Run& run, Actions& actions) {
  const bool suspect =
      quarantine_.TrustLevelOf(run.fingerprint) == TrustLevel::kSuspect;
  if (run.crashed_as_sole_call &&
      (suspect || run.crashed_leaves >= kFatalCrashes)) {
    quarantine_.OnSecondCrash(run.fingerprint, actions);
  } else if (run.finished && run.crashed_leaves > 0) {
    quarantine_.OnLeafCrash({{.fingerprint = run.fingerprint}}, actions);
  }
  if (!run.finished || !run.unchecked.empty()) return false;
  if (run.probed_first)
    quarantine_.OnExclusiveEnded(run.fingerprint, /*outcome_known=*/true);
  return true;
}

void RequestQuarantine::OnRunEnded(const EndedRun& run, Actions& actions) {
  if (run.probed_first && run.completed)
    quarantine_.OnCompletedExclusive(run.fingerprint, actions);
  const auto found = runs_.find(run.run);
  const bool outcome_known =
      run.completed || found == runs_.end() || found->second.unchecked.empty();
  if (run.probed_first && outcome_known)
    quarantine_.OnExclusiveEnded(run.fingerprint, /*outcome_known=*/true);
  if (found == runs_.end()) return;
  found->second.finished = true;
  found->second.probed_first = run.probed_first;
  if (run.completed || Conclude(found->second, actions)) runs_.erase(found);
}

bool RequestQuarantine::Merge(const model::SuspectEntry& entry) {
  return quarantine_.Merge({{entry}});
}

}  // namespace berylreach::forward
