// Orders statuses of version shifts, and names their states.
#include "berylreach/forward/version_shift.h"

namespace berylreach::forward {

bool IsNewer(const VersionShiftStatus& a, const VersionShiftStatus& b) {
  if (a.order != b.order) return a.order > b.order;
  if (a.target_version == b.target_version && a.is_verdict() != b.is_verdict())
    return a.is_verdict();
  return a.step > b.step;
}

VersionCounts& VersionCounts::operator+=(const VersionCounts& other) {
  calls += other.calls;
  failed += other.failed;
  slow += other.slow;
  return *this;
}

const char* ShiftStateName(ShiftState state) {
  switch (state) {
    case ShiftState::kRunning:
      return "running";
    case ShiftState::kComplete:
      return "complete";
    case ShiftState::kRolledBack:
      return "rolled_back";
  }
  return "";
}

const char* ShiftStageName(ShiftStage stage) {
  switch (stage) {
    case ShiftStage::kObserve:
      return "observe";
    case ShiftStage::kLoad:
      return "load";
    case ShiftStage::kFull:
      return "full";
  }
  return "";
}

}  // namespace berylreach::forward
