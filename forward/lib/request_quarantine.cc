// Evidence against requests that end their leaves.
#include "berylreach/forward/request_quarantine.h"

#include <iterator>
#include <utility>

namespace berylreach::forward {
namespace {

using quarantine::Grant;
using quarantine::TrustLevel;

/// Completed requests are not remembered: any request may run, until a leaf
/// ends under it.
constexpr std::size_t kProvenCapacity = 0;

/// Leaves that ended under one run, one after the other, which show that the
/// request ends them.
constexpr std::size_t kFatalEnds = 2;

}  // namespace

RequestQuarantine::RequestQuarantine(const base::Clock& clock)
    : quarantine_(clock, kProvenCapacity) {}

RunPermit RequestQuarantine::Admit(std::uint64_t fingerprint,
                                   base::TimePoint answer_due) {
  switch (quarantine_.TrustLevelOf(fingerprint)) {
    case TrustLevel::kUnproven:
    case TrustLevel::kProven:
      return RunPermit::kUnrestricted;
    case TrustLevel::kBlocked:
      return RunPermit::kBlocked;
    case TrustLevel::kSuspect:
      break;
  }
  const Grant grant = quarantine_.TryStartAlone(fingerprint, answer_due);
  return grant == Grant::kGranted ? RunPermit::kProbeFirst : RunPermit::kBusy;
}

void RequestQuarantine::OnNotRun(std::uint64_t fingerprint) {
  quarantine_.OnAloneEnded(fingerprint, /*known=*/true);
}

bool RequestQuarantine::MayRunForOthers(std::uint64_t fingerprint) const {
  const TrustLevel standing = quarantine_.TrustLevelOf(fingerprint);
  return standing == TrustLevel::kUnproven || standing == TrustLevel::kProven;
}

base::Duration RequestQuarantine::BlockedFor(std::uint64_t fingerprint) const {
  return quarantine_.ExpiresIn(fingerprint);
}

void RequestQuarantine::OnCallLost(LostCall call) {
  Run& run = runs_[call.run];
  run.fingerprint = call.fingerprint;
  run.unchecked.push_back(std::move(call));
}

void RequestQuarantine::OnLeafChecked(const std::string& leaf, bool ended,
                                      Actions& actions) {
  for (auto place = runs_.begin(); place != runs_.end();) {
    Run& run = place->second;
    const std::size_t checked =
        std::erase_if(run.unchecked, [&](const LostCall& call) {
          if (call.leaf != leaf) return false;
          if (ended) {
            ++run.ended_leaves;
            run.ended_leaf_alone = run.ended_leaf_alone || call.alone;
          }
          return true;
        });
    const bool done = checked > 0 && Conclude(run, actions);
    place = done ? runs_.erase(place) : std::next(place);
  }
}

bool RequestQuarantine::Conclude(Run& run, Actions& actions) {
  const bool suspect =
      quarantine_.TrustLevelOf(run.fingerprint) == TrustLevel::kSuspect;
  if (run.ended_leaf_alone && (suspect || run.ended_leaves >= kFatalEnds)) {
    quarantine_.OnSecondCrash(run.fingerprint, actions);
  } else if (run.over && run.ended_leaves > 0) {
    quarantine_.OnLeafDeath({{.fingerprint = run.fingerprint}}, actions);
  }
  if (!run.over || !run.unchecked.empty()) return false;
  if (run.probed_first)
    quarantine_.OnAloneEnded(run.fingerprint, /*known=*/true);
  return true;
}

void RequestQuarantine::OnRunEnded(const EndedRun& run, Actions& actions) {
  if (run.probed_first && run.completed)
    quarantine_.OnCompletedAlone(run.fingerprint, actions);
  const auto found = runs_.find(run.run);
  const bool outcome_known =
      run.completed || found == runs_.end() || found->second.unchecked.empty();
  if (run.probed_first && outcome_known)
    quarantine_.OnAloneEnded(run.fingerprint, /*known=*/true);
  if (found == runs_.end()) return;
  found->second.over = true;
  found->second.probed_first = run.probed_first;
  if (run.completed || Conclude(found->second, actions)) runs_.erase(found);
}

bool RequestQuarantine::Merge(const model::SuspectEntry& entry) {
  return quarantine_.Merge({{entry}});
}

}  // namespace berylreach::forward
