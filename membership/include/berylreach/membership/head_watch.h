// The watch of the head record by a delegate.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "berylreach/base/clock.h"
#include "berylreach/membership/action.h"
#include "berylreach/model/store_result.h"

namespace berylreach::membership {

/// Keeps one blocking read of the head record open. While the store does not
/// answer, the reads do not block, since one that is sent then is lost although
/// the store may return soon after.
class HeadWatch {
 public:
  /// Whether a watch should be issued now.
  bool ShouldIssue(base::TimePoint now) const;

  /// Issues a watch that waits for a revision other than `revision`.
  void Issue(std::uint64_t id, std::uint64_t revision, base::TimePoint now,
             Actions& out);

  /// Processes the result of a watch; returns false if `id` is not the open
  /// watch. `newer` tells whether the result contained a newer record.
  bool OnResult(std::uint64_t id, model::StoreOutcome outcome, bool newer,
                base::TimePoint now);

  /// Whether `id` is the open watch.
  bool IsOpen(std::uint64_t id) const { return id_ == id; }

 private:
  /// The open watch.
  std::optional<std::uint64_t> id_;
  base::TimePoint issued_ = base::TimePoint::min();
  std::chrono::milliseconds wait_{0};
  /// Whether the store has answered the latest watch that has ended.
  bool store_answers_ = true;
  base::TimePoint not_before_ = base::TimePoint::min();
};

}  // namespace berylreach::membership
