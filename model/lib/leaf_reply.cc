// Classifies the outcomes of leaf calls.
#include "berylreach/model/leaf_reply.h"

namespace berylreach::model {

bool ProvesNotRun(LeafOutcome outcome) {
  switch (outcome) {
    case LeafOutcome::kVersionGone:
    case LeafOutcome::kShed:
    case LeafOutcome::kDraining:
    case LeafOutcome::kOverloaded:
    case LeafOutcome::kNotOwner:
    case LeafOutcome::kBlocked:
    case LeafOutcome::kNotSent:
    case LeafOutcome::kSuspect:
    case LeafOutcome::kNoSlot:
      return true;
    case LeafOutcome::kOk:
    case LeafOutcome::kLost:
    case LeafOutcome::kLeafCrashed:
    case LeafOutcome::kTimedOut:
      return false;
  }
  return false;
}

}  // namespace berylreach::model
